package jobstore

import (
	"reflect"
	"testing"
	"time"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

// A job must not change when it is stored and read back, and decoders must return an
// error for invalid bytes rather than panic.
func FuzzDecodeRows(f *testing.F) {
	encoded, err := EncodeJob(job.Job{
		ID: "5c0e7a21d94b36f8", Queue: "q", AcceptedAt: time.UnixMilli(5),
		Definition: job.Definition{Spec: "s", Steps: []job.Step{{Tasks: 2, Gang: true, After: []int{0}, TargetMilliseconds: 4}}},
	})
	if err != nil {
		f.Fatal(err)
	}
	progress, err := EncodeProgress(dispatch.Progress{ID: "5c0e7a21d94b36f8", Steps: []dispatch.StepProgress{{Step: 1, Done: []byte{3}}}})
	if err != nil {
		f.Fatal(err)
	}
	leader, err := encodeLeader(LeaderRow{Name: "a", Token: 7}, time.Second)
	if err != nil {
		f.Fatal(err)
	}
	chain, err := EncodeJob(job.Job{
		ID: "5c0e7a21d94b36f8", Queue: "q", AcceptedAt: time.UnixMilli(5),
		Definition: job.Definition{Spec: "s", Steps: []job.Step{{Tasks: 2, Gang: true}, {Tasks: 1, After: []int{0}, TargetMilliseconds: 4}}},
	})
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{encoded, chain, progress, leader, {0xa0}, {0xff}, nil} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if j, err := DecodeJob(text); err == nil {
			for i, s := range j.Definition.Steps {
				for _, before := range s.After {
					if before < 0 || before >= i {
						t.Fatalf("accepted %+v", j)
					}
				}
			}
			again, err := EncodeJob(j)
			if err != nil {
				t.Fatalf("encode %+v: %v", j, err)
			}
			if back, err := DecodeJob(again); err != nil || !reflect.DeepEqual(back, j) {
				t.Fatalf("encoded %+v, decoded %+v, error %v", j, back, err)
			}
		}
		_, _ = DecodeProgress(dispatch.ProgressPart{ID: "5c0e7a21d94b36f8"}, text)
		_, _, _ = decodeLeader(text)
		_, _ = decodeEnrolment("i-1", text)
	})
}
