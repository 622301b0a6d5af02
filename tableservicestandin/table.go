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
	// maxListRows limits the rows of one answer.
	maxListRows = 1000
	// listBytesThreshold is the total size of values above which no more rows are
	// added to an answer.
	listBytesThreshold = 4 << 20
)

// Row is one row of the table. Version counts the writes since the row was created.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
}

// table is the transactional table, held in memory.
type table struct {
	mu        sync.Mutex
	rowsByKey map[string]Row
	// tokens holds the tokens by which clients identify transactions: true if the
	// transaction was applied, false if it was resolved as not applied.
	tokens map[string]bool
}

func newTable() *table {
	return &table{rowsByKey: make(map[string]Row), tokens: make(map[string]bool)}
}

// commit applies all writes, or applies none and returns the rows whose versions
// differ from the expected ones. It is idempotent: a transaction whose token was
// already applied succeeds without effect. If the token was resolved as not
// applied, commit returns an error with code Aborted.
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
		row := t.rowsByKey[w.Key]
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
			delete(t.rowsByKey, w.Key)
			continue
		}
		t.rowsByKey[w.Key] = Row{Key: w.Key, Version: t.rowsByKey[w.Key].Version + 1, Value: w.Value}
	}
	t.tokens[token] = true
	return nil, nil
}

// resolve reports whether the transaction with a token was applied. If it was not,
// commit rejects the token from now on.
func (t *table) resolve(token string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	applied := t.tokens[token]
	t.tokens[token] = applied
	return applied
}

// read returns a row, with version 0 if it does not exist.
func (t *table) read(key string) Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rowsByKey[key]
	row.Key = key
	return row
}

// rowsWithPrefix returns the rows whose keys begin with prefix, in key order.
func (t *table) rowsWithPrefix(prefix string) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []Row
	for key, row := range t.rowsByKey {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// tableService implements TableService.
type tableService struct{ p *Platform }

// Commit applies all writes or none. It returns the rows that conflict.
func (s *tableService) Commit(_ context.Context, r *platformv1.CommitRequest) (*platformv1.CommitResponse, error) {
	s.p.injector.injectRequestLoss()
	if err := s.p.injector.admitWrite(len(r.Writes)); err != nil {
		return nil, err
	}
	if r.Token == "" || len(r.Writes) == 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("token or writes are missing"))
	}
	for _, w := range r.Writes {
		if len(w.Value) > MaxRowBytes {
			err := fmt.Errorf("row %q: %d bytes is above the limit of %d bytes", w.Key, len(w.Value), MaxRowBytes)
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
	}
	conflicts, err := s.p.table.commit(r.Token, r.Writes)
	if err != nil {
		return nil, err
	}
	s.p.injector.injectAnswerLoss()
	response := &platformv1.CommitResponse{Applied: len(conflicts) == 0}
	for _, row := range conflicts {
		response.Conflicts = append(response.Conflicts, row.toWire())
	}
	return response, nil
}

// Read returns one row, with version 0 if it does not exist.
func (s *tableService) Read(_ context.Context, r *platformv1.ReadRequest) (*platformv1.ReadResponse, error) {
	if err := s.p.injector.admitRead(); err != nil {
		return nil, err
	}
	return &platformv1.ReadResponse{Row: s.p.table.read(r.Key).toWire()}, nil
}

// List returns one page of the rows whose keys begin with a prefix, in key order.
func (s *tableService) List(_ context.Context, r *platformv1.ListRequest) (*platformv1.ListResponse, error) {
	if err := s.p.injector.admitRead(); err != nil {
		return nil, err
	}
	limit := maxListRows
	if r.Limit > 0 {
		limit = min(limit, int(r.Limit))
	}
	response := &platformv1.ListResponse{}
	bytes := 0
	for _, row := range s.p.table.rowsWithPrefix(r.Prefix) {
		if row.Key <= r.After {
			continue
		}
		if len(response.Rows) == limit || bytes > listBytesThreshold {
			response.More = true
			break
		}
		bytes += len(row.Value)
		response.Rows = append(response.Rows, row.toWire())
	}
	return response, nil
}

// Resolve reports whether a transaction was applied, and prevents it from being
// applied later if not.
func (s *tableService) Resolve(_ context.Context, r *platformv1.ResolveRequest) (*platformv1.ResolveResponse, error) {
	if err := s.p.injector.admitRead(); err != nil {
		return nil, err
	}
	return &platformv1.ResolveResponse{Applied: s.p.table.resolve(r.Token)}, nil
}

func (r Row) toWire() *platformv1.Row {
	return &platformv1.Row{Key: r.Key, Version: r.Version, Value: r.Value}
}
