package tableservicestandin

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"fuchsiacross/platformv1"
)

const (
	// listLimit is the largest number of rows in one answer.
	listLimit = 1000
	// listBytes is the size in bytes after which an answer takes no more rows.
	listBytes = 4 << 20
)

// Row is one row of the table.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
}

// table is the transactional table in memory.
type table struct {
	mu     sync.Mutex
	byKey  map[string]Row
	tokens map[string]bool // applied, or resolved as not applied
}

func newTable() *table {
	return &table{byKey: make(map[string]Row), tokens: make(map[string]bool)}
}

// commit applies all writes or returns the rows that do not match.
func (t *table) commit(token string, writes []*platformv1.Write) ([]Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if applied, known := t.tokens[token]; known {
		if !applied {
			return nil, connect.NewError(connect.CodeAborted, errors.Errorf("token %q was resolved as not applied", token))
		}
		return nil, nil
	}
	var conflicts []Row
	for _, w := range writes {
		row := t.byKey[w.Key]
		if !w.Unconditional && row.Version != w.ExpectedVersion {
			row.Key = w.Key
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return conflicts, nil
	}
	for _, w := range writes {
		if w.Delete {
			delete(t.byKey, w.Key)
			continue
		}
		t.byKey[w.Key] = Row{Key: w.Key, Version: t.byKey[w.Key].Version + 1, Value: w.Value}
	}
	t.tokens[token] = true
	return nil, nil
}

// resolve says whether a token was applied and refuses it from now on if not.
func (t *table) resolve(token string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	applied := t.tokens[token]
	t.tokens[token] = applied
	return applied
}

func (t *table) row(key string) Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.byKey[key]
	row.Key = key
	return row
}

func (t *table) rows(prefix string) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []Row
	for key, row := range t.byKey {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// tableService serves the table.
type tableService struct{ p *Platform }

// Commit applies all writes or none.
func (s *tableService) Commit(_ context.Context, r *platformv1.CommitRequest) (*platformv1.CommitResponse, error) {
	s.p.faults.dropRequest()
	if err := s.p.faults.write(len(r.Writes)); err != nil {
		return nil, err
	}
	if r.Token == "" || len(r.Writes) == 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("token or writes are missing"))
	}
	for _, w := range r.Writes {
		if len(w.Value) > RowLimit {
			err := fmt.Errorf("row %q: %d bytes is above the limit of %d bytes", w.Key, len(w.Value), RowLimit)
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
	}
	conflicts, err := s.p.table.commit(r.Token, r.Writes)
	if err != nil {
		return nil, err
	}
	s.p.faults.loseAnswer()
	response := &platformv1.CommitResponse{Applied: len(conflicts) == 0}
	for _, row := range conflicts {
		response.Conflicts = append(response.Conflicts, row.wire())
	}
	return response, nil
}

// Read returns one row, with version 0 when it does not exist.
func (s *tableService) Read(_ context.Context, r *platformv1.ReadRequest) (*platformv1.ReadResponse, error) {
	if err := s.p.faults.read(); err != nil {
		return nil, err
	}
	return &platformv1.ReadResponse{Row: s.p.table.row(r.Key).wire()}, nil
}

// List returns one page of the rows whose keys have a prefix.
func (s *tableService) List(_ context.Context, r *platformv1.ListRequest) (*platformv1.ListResponse, error) {
	if err := s.p.faults.read(); err != nil {
		return nil, err
	}
	limit := listLimit
	if r.Limit > 0 {
		limit = min(limit, int(r.Limit))
	}
	response := &platformv1.ListResponse{}
	bytes := 0
	for _, row := range s.p.table.rows(r.Prefix) {
		if row.Key <= r.After {
			continue
		}
		if len(response.Rows) == limit || bytes > listBytes {
			response.More = true
			break
		}
		bytes += len(row.Value)
		response.Rows = append(response.Rows, row.wire())
	}
	return response, nil
}

// Resolve says whether a transaction was applied.
func (s *tableService) Resolve(_ context.Context, r *platformv1.ResolveRequest) (*platformv1.ResolveResponse, error) {
	if err := s.p.faults.read(); err != nil {
		return nil, err
	}
	return &platformv1.ResolveResponse{Applied: s.p.table.resolve(r.Token)}, nil
}

func (r Row) wire() *platformv1.Row {
	return &platformv1.Row{Key: r.Key, Version: r.Version, Value: r.Value}
}
