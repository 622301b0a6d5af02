package main

import "fuchsiacross/tableservicestandin"

type platformCommand struct {
	commonOptions
}

// Execute runs the platform until a signal ends the process.
func (c *platformCommand) Execute([]string) error {
	address, err := parseAddress("--address", c.Address)
	if err != nil {
		return err
	}
	p, err := tableservicestandin.New(tableservicestandin.Options{Address: address})
	if err != nil {
		return err
	}
	defer func() { _ = p.Close() }()
	return c.runUntilSignal(readyInfo{Address: p.Address(), Control: p.Address()})
}
