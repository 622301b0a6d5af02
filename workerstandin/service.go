package workerstandin

import (
	"context"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"fuchsiacross/model"
	"fuchsiacross/workerv1"
)

// service implements WorkerService of package workerv1.
type service struct {
	worker *Worker
}

// Session serves one session of a scheduler. The first command must be Acquire. The
// session ends when the lease is denied, released or granted to a later session.
func (s *service) Session(ctx context.Context, stream *connect.BidiStream[workerv1.Command, workerv1.Report]) error {
	command, err := stream.Receive()
	if err != nil {
		return err
	}
	s.worker.waitWhilePaused()
	if ctx.Err() != nil {
		return ctx.Err() // the scheduler closed the session during the pause
	}
	acquire := command.GetAcquire()
	if acquire == nil {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("the first command must be acquire"))
	}
	current := newSession(s.worker, stream.Peer().Addr)
	if denied := s.worker.grantLease(current, acquire); denied != nil {
		return stream.Send(&workerv1.Report{Report: &workerv1.Report_Denied{Denied: denied}})
	}
	go func() {
		defer current.end()
		for {
			command, err := stream.Receive()
			if err != nil {
				return
			}
			s.worker.waitWhilePaused()
			current.handleCommand(command)
		}
	}()
	defer s.worker.detachSession(current)
	return current.sendReports(ctx, stream.Send)
}

// Run starts an attempt and replies with its result, or with the reason if the
// start is refused.
func (s *service) Run(ctx context.Context, r *workerv1.RunRequest) (*workerv1.RunReply, error) {
	w := s.worker
	w.waitWhilePaused()
	start := r.GetStart()
	t, refusal, term := w.admitRunCall(start)
	if t == nil {
		w.delayAnswer(ctx)
		attempt, tag := attemptOrTag(start, model.Term(start.GetTerm()))
		refused := &workerv1.Refused{Attempt: attempt, Tag: tag, Reason: refusal, Term: uint64(term)}
		return &workerv1.RunReply{Reply: &workerv1.RunReply_Refused{Refused: refused}}, nil
	}
	info, _ := connect.CallInfoForHandlerContext(ctx)
	w.applyCutAfterStart(info.Peer().Addr)
	select {
	case <-t.done:
	case <-ctx.Done():
		w.abandonRunCall(t)
		return nil, ctx.Err()
	}
	w.delayAnswer(ctx)
	w.waitWhilePaused()
	finished := w.takeRunReply(t)
	if finished == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &workerv1.RunReply{Reply: &workerv1.RunReply_Finished{Finished: finished}}, nil
}

// admitRunCall admits a start and registers the Run call as waiting for the result.
// It also returns the current term.
func (w *Worker) admitRunCall(start *workerv1.Start) (*task, string, model.Term) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, refusal := w.admit(start)
	if t != nil {
		t.pendingRunCalls++
	}
	return t, refusal, w.term
}

// abandonRunCall unregisters a Run call whose client has gone. If the task has
// ended and no other call waits for it, the result goes through the session.
func (w *Worker) abandonRunCall(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.pendingRunCalls--
	ended := t.state == workerv1.TaskState_TASK_STATE_FINISHED || t.state == workerv1.TaskState_TASK_STATE_STOPPED
	if t.pendingRunCalls == 0 && ended {
		w.reportFinished(t)
	}
}

// takeRunReply returns the reply to a Run call for a task that has ended. It
// returns nil if the task was lost in a crash or a fault drops the answer.
func (w *Worker) takeRunReply(t *task) *workerv1.Finished {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.state == workerv1.TaskState_TASK_STATE_UNSPECIFIED || w.takeDropFault() {
		return nil
	}
	return w.finishedToWire(t, model.Term(t.start.GetTerm()))
}

// applyCutAfterStart closes the connection that carried an accepted start if the
// fault CutAfterStart is set.
func (w *Worker) applyCutAfterStart(remote string) {
	w.mu.Lock()
	cut := w.faults.CutAfterStart > 0
	if cut {
		w.faults.CutAfterStart--
	}
	w.mu.Unlock()
	if cut {
		w.listener.closeConnection(remote)
	}
}
