package caller

import (
	"fuchsiacross/callerv1"
	"fuchsiacross/model"
)

func outcomeMessage(id model.RequestID, o *model.Outcome) *callerv1.Outcome {
	m := &callerv1.Outcome{
		RequestId:    string(id),
		Status:       statusMessage(o.Status),
		Reason:       o.Reason,
		Proof:        proofMessage(o.Proof),
		Answer:       o.Answer,
		AnswerLength: uint64(len(o.Answer)),
		Worker:       string(o.Worker),
		Attempt:      o.Attempt.Number,
	}
	if o.Status == model.StatusDone {
		m.AnswerDigest = o.Digest[:]
	}
	return m
}

func statusMessage(s model.Status) callerv1.Status {
	switch s {
	case model.StatusNotFound:
		return callerv1.Status_STATUS_NOT_FOUND
	case model.StatusWaiting:
		return callerv1.Status_STATUS_WAITING
	case model.StatusRunning:
		return callerv1.Status_STATUS_RUNNING
	case model.StatusDone:
		return callerv1.Status_STATUS_DONE
	case model.StatusFailed:
		return callerv1.Status_STATUS_FAILED
	case model.StatusNotRun:
		return callerv1.Status_STATUS_NOT_RUN
	case model.StatusUnknown:
		return callerv1.Status_STATUS_UNKNOWN
	case model.StatusCancelled:
		return callerv1.Status_STATUS_CANCELLED
	case model.StatusExpired:
		return callerv1.Status_STATUS_EXPIRED
	}
	return callerv1.Status_STATUS_UNSPECIFIED
}

func proofMessage(p model.Proof) callerv1.Proof {
	switch p {
	case model.ProofNeverSent:
		return callerv1.Proof_PROOF_NEVER_SENT
	case model.ProofTargetRefused:
		return callerv1.Proof_PROOF_TARGET_REFUSED
	case model.ProofTargetFenced:
		return callerv1.Proof_PROOF_TARGET_FENCED
	}
	return callerv1.Proof_PROOF_UNSPECIFIED
}
