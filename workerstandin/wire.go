package workerstandin

import (
	"fuchsiacross/model"
	"fuchsiacross/workerv1"
)

func attemptFromWire(a *workerv1.Attempt) model.Attempt {
	return model.Attempt{Request: model.RequestID(a.GetRequestId()), Task: a.GetTask(), Number: a.GetNumber()}
}

func attemptToWire(a model.Attempt) *workerv1.Attempt {
	return &workerv1.Attempt{RequestId: string(a.Request), Task: a.Task, Number: a.Number}
}

func resourcesFromWire(r *workerv1.Resources) model.Resources {
	return model.Resources{
		MilliCPU: r.GetMilliCpu(), MemoryBytes: r.GetMemoryBytes(),
		Accelerators: r.GetAccelerators(), Slots: r.GetSlots(),
	}
}

func resourcesToWire(r model.Resources) *workerv1.Resources {
	return &workerv1.Resources{
		MilliCpu: r.MilliCPU, MemoryBytes: r.MemoryBytes,
		Accelerators: r.Accelerators, Slots: r.Slots,
	}
}

func kindFromWire(s string) model.Kind {
	for _, k := range []model.Kind{model.KindRequest, model.KindBatch, model.KindService} {
		if k.String() == s {
			return k
		}
	}
	return 0
}
