package main

import (
	"fuchsiacross/model"
	"fuchsiacross/workerstandin"
)

type workerCommand struct {
	commonOptions
	ID           string `long:"id" required:"true" description:"identifier of the worker"`
	DataCentre   string `long:"data-centre" required:"true" description:"data centre of the worker"`
	Rack         string `long:"rack" required:"true" description:"rack of the worker"`
	MilliCPU     int64  `long:"milli-cpu" default:"32000" description:"thousandths of a processor"`
	MemoryBytes  int64  `long:"memory-bytes" default:"68719476736" description:"memory"`
	Accelerators int64  `long:"accelerators" default:"0" description:"accelerators"`
	Slots        int64  `long:"slots" default:"8" description:"slots of the runner"`
	Incarnation  uint64 `long:"incarnation" default:"1" description:"incarnation of the worker; must increase with each restart at the same address"`
	Correct      bool   `long:"correct" description:"refuse commands that a correct worker refuses, instead of carrying them out and recording a violation"`
}

// Execute runs the worker until a signal ends the process.
func (c *workerCommand) Execute([]string) error {
	address, err := parseAddress("--address", c.Address)
	if err != nil {
		return err
	}
	w, err := workerstandin.New(workerstandin.Options{
		ID:         model.WorkerID(c.ID),
		Address:    address,
		DataCentre: model.DataCentre(c.DataCentre),
		Rack:       model.Rack(c.Rack),
		Capacity: model.Resources{
			MilliCPU:     c.MilliCPU,
			MemoryBytes:  c.MemoryBytes,
			Accelerators: c.Accelerators,
			Slots:        c.Slots,
		},
		Permissive:  !c.Correct,
		Incarnation: model.Incarnation(c.Incarnation),
	})
	if err != nil {
		return err
	}
	defer w.Close()
	return c.runUntilSignal(readyInfo{Address: w.Address(), Control: w.Address()})
}
