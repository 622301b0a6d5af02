package main

import (
	"encoding/json"
	"net/http"
	"net/netip"

	"fuchsiacross/tableservicestandin"
)

// maxEntriesBytes limits the body of PUT /standin/entries.
const maxEntriesBytes = 64 << 10

type balancerCommand struct {
	commonOptions
	Entries []string `long:"entry" value-name:"ADDR" description:"caller address of an instance; repeatable"`
}

// Execute runs the load balancer until a signal ends the process.
func (c *balancerCommand) Execute([]string) error {
	address, err := parseAddress("--address", c.Address)
	if err != nil {
		return err
	}
	var entries []netip.AddrPort
	for _, text := range c.Entries {
		entry, err := parseAddress("--entry", text)
		if err != nil {
			return err
		}
		entries = append(entries, entry)
	}
	b, err := tableservicestandin.NewBalancer(address, entries)
	if err != nil {
		return err
	}
	defer func() { _ = b.Close() }()
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /standin/entries", func(w http.ResponseWriter, r *http.Request) {
		var entries []netip.AddrPort
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEntriesBytes)).Decode(&entries); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		b.SetEntries(entries)
		w.WriteHeader(http.StatusNoContent)
	})
	control, err := serveControl(address.Addr(), mux)
	if err != nil {
		return err
	}
	return c.runUntilSignal(readyInfo{Address: b.Address(), Control: control})
}
