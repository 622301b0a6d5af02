package tableservice

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fuchsiacross/event"
	"fuchsiacross/logevent"
	"fuchsiacross/platformv1"
)

const (
	// rowLimit is the largest value of a row in bytes.
	rowLimit = 256 << 10
	// commitPatience bounds the wait of a commit at the gate, so that a commit
	// that was not sent fails while its requests can still be given up.
	commitPatience = time.Second
	// Resolving is repeated after firstResolve, doubled each time up to
	// lastResolve, both with jitter.
	firstResolve = 50 * time.Millisecond
	lastResolve  = 3 * time.Second
)

// result is what became of a transaction.
type result struct {
	event.CommitResult
	conflicts []*platformv1.Row
	err       error // why, when the result is CommitFailed
}

// newToken returns a token that no other transaction has.
func (c *Client) newToken() string {
	return fmt.Sprintf("%s/%d/%s/%d", c.options.Self, c.options.Incarnation, c.salt, c.tokens.Add(1))
}

// transact commits writes and returns a certain result. The error is that of
// ctx when it ends before the result is certain.
func (c *Client) transact(ctx context.Context, writes []*platformv1.Write) (result, error) {
	for _, w := range writes {
		if len(w.Value) > rowLimit {
			err := errors.Errorf("row %q: %d bytes is above the limit of %d bytes", w.Key, len(w.Value), rowLimit)
			return result{CommitResult: event.CommitFailed, err: err}, nil
		}
	}
	request := &platformv1.CommitRequest{Token: c.newToken(), Writes: writes}
	response, err := invoke(ctx, c, writeCall, commitPatience, c.table.Commit, request)
	switch certaintyOf(err) {
	case answered:
		if response.Applied {
			return result{CommitResult: event.CommitApplied}, nil
		}
		c.meter.conflicts.Inc(1)
		return result{CommitResult: event.CommitConflict, conflicts: response.Conflicts}, nil
	case notApplied:
		return result{CommitResult: event.CommitFailed, err: err}, nil
	}
	applied, rerr := c.resolve(ctx, request.Token)
	if rerr != nil {
		return result{}, rerr
	}
	c.meter.resolved.Inc(1)
	logevent.CommitResolved.Log(c.log,
		zap.String("token", request.Token),
		zap.String("row", writes[0].Key),
		zap.Bool("applied", applied),
		zap.Error(err))
	if applied {
		return result{CommitResult: event.CommitApplied}, nil
	}
	return result{CommitResult: event.CommitFailed, err: err}, nil
}

// resolve asks until the table says whether a token was applied, or ctx ends.
func (c *Client) resolve(ctx context.Context, token string) (bool, error) {
	request := &platformv1.ResolveRequest{Token: token}
	for delay := firstResolve; ; delay = min(2*delay, lastResolve) {
		response, err := invoke(ctx, c, resolveCall, lastResolve, c.table.Resolve, request)
		if err == nil {
			return response.Applied, nil
		}
		select {
		case <-time.After(jitter(delay)):
		case <-ctx.Done():
			return false, errors.Wrapf(ctx.Err(), "resolve token %q", token)
		}
	}
}

// put returns a conditional write of a row.
func put(key string, expected uint64, value []byte) *platformv1.Write {
	return &platformv1.Write{Key: key, ExpectedVersion: expected, Value: value}
}
