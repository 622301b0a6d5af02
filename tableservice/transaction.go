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
	// maxRowBytes is the platform's limit of the size of a row's value.
	maxRowBytes = 256 << 10
	// commitBreakerTimeout limits how long a commit waits for the circuit breaker,
	// so that a commit that was not sent fails while its requests can still be
	// abandoned.
	commitBreakerTimeout = time.Second
	// A resolve is retried after minResolveDelay. The delay doubles with each retry
	// up to maxResolveDelay, and has jitter. maxResolveDelay also limits how long a
	// resolve waits for the circuit breaker, and minResolveDelay is the delay before
	// the retry of an edit that conflicts with another.
	minResolveDelay = 50 * time.Millisecond
	maxResolveDelay = 3 * time.Second
)

// transactionResult is the certain result of a transaction.
type transactionResult struct {
	event.CommitResult
	conflicts []*platformv1.Row // current rows that did not match, if the result is CommitConflict
	err       error             // the cause, if the result is CommitFailed
}

// newTransactionToken returns a token that is unique to one transaction.
func (c *Client) newTransactionToken() string {
	return fmt.Sprintf("%s/%d/%s/%d", c.options.Self, c.options.Incarnation, c.tokenSalt, c.tokenCounter.Add(1))
}

// commitTransaction commits writes in one transaction and returns its result. The
// error is that of ctx if it ends before the result is certain.
func (c *Client) commitTransaction(ctx context.Context, writes []*platformv1.Write) (transactionResult, error) {
	for _, w := range writes {
		if len(w.Value) > maxRowBytes {
			err := errors.Errorf("row %q: %d bytes is above the limit of %d bytes", w.Key, len(w.Value), maxRowBytes)
			return transactionResult{CommitResult: event.CommitFailed, err: err}, nil
		}
	}
	request := &platformv1.CommitRequest{Token: c.newTransactionToken(), Writes: writes}
	response, err := invoke(ctx, c, writeCall, commitBreakerTimeout, c.table.Commit, request)
	switch classifyOutcome(err) {
	case outcomeAnswered:
		if response.Applied {
			return transactionResult{CommitResult: event.CommitApplied}, nil
		}
		c.metrics.conflicts.Inc(1)
		return transactionResult{CommitResult: event.CommitConflict, conflicts: response.Conflicts}, nil
	case outcomeNotApplied:
		return transactionResult{CommitResult: event.CommitFailed, err: err}, nil
	}
	applied, resolveErr := c.resolveToken(ctx, request.Token)
	if resolveErr != nil {
		return transactionResult{}, resolveErr
	}
	c.metrics.resolved.Inc(1)
	logevent.CommitResolved.Log(c.log,
		zap.String("token", request.Token),
		zap.String("row", writes[0].Key),
		zap.Bool("applied", applied),
		zap.Error(err))
	if applied {
		return transactionResult{CommitResult: event.CommitApplied}, nil
	}
	return transactionResult{CommitResult: event.CommitFailed, err: err}, nil
}

// resolveToken asks the table service whether the transaction with a token was
// applied. It retries until it gets an answer or ctx ends.
func (c *Client) resolveToken(ctx context.Context, token string) (bool, error) {
	request := &platformv1.ResolveRequest{Token: token}
	for delay := minResolveDelay; ; delay = min(2*delay, maxResolveDelay) {
		response, err := invoke(ctx, c, resolveCall, maxResolveDelay, c.table.Resolve, request)
		if err == nil {
			return response.Applied, nil
		}
		select {
		case <-time.After(withJitter(delay)):
		case <-ctx.Done():
			return false, errors.Wrapf(ctx.Err(), "resolve token %q", token)
		}
	}
}

// conditionalWrite returns a write that is conditional on a row's version; 0 means that
// the row does not exist.
func conditionalWrite(key string, expected uint64, value []byte) *platformv1.Write {
	return &platformv1.Write{Key: key, ExpectedVersion: expected, Value: value}
}
