package main

import "fuchsiacross/tableservicestandin"

type platformCommand struct {
	common
}

// Execute runs the platform.
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
	return c.serve(ready{Address: p.Address(), Control: p.Address()})
}
