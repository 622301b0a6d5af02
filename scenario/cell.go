package scenario

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"fuchsiacross/client"
	"fuchsiacross/examples"
	"fuchsiacross/loopback"
)

// cell is the cell of one script.
type cell struct {
	folder    string // of the script
	programs  string // folder
	network   *loopback.Network
	options   map[string]string
	token     string
	platform  *standin
	links     *standin
	balancer  *standin
	workers   []*standin
	instances []*instance
	loads     map[string]*load
	leaving   map[string]time.Time // by worker, when the list named it
	killed    map[string]death     // by instance
	faults    map[string]linkState // by link
	began     time.Time
}

// death is when an instance was killed and what it held.
type death struct {
	at      time.Time
	workers []string
}

func newCell(folder, programs string) *cell {
	return &cell{
		folder:   folder,
		programs: programs,
		network:  loopback.New(),
		loads:    map[string]*load{},
		leaving:  map[string]time.Time{},
		killed:   map[string]death{},
		faults:   map[string]linkState{},
		began:    time.Now(),
	}
}

const dataCentres = 3

func dataCentre(i int) string { return fmt.Sprintf("alta-verapaz-%d", i%dataCentres+1) }

func (c *cell) newProcess(name, program string, args ...string) process {
	return process{
		name:    name,
		program: filepath.Join(c.programs, program),
		args:    args,
		log:     filepath.Join(c.folder, name+".log"),
	}
}

func (c *cell) newStandin(name string, args ...string) *standin {
	ready := filepath.Join(c.folder, name+".ready")
	return &standin{process: c.newProcess(name, "standin", append(args, "--ready-file", ready)...), ready: ready}
}

// start starts every process, commits the document and waits until the cell is
// ready.
func (c *cell) start(instances, workers int, options map[string]string) error {
	c.options = options
	if err := c.writeCredentials(); err != nil {
		return err
	}
	if err := c.startStandins(instances, workers); err != nil {
		return err
	}
	for i, x := range c.instances {
		if err := c.writeSettings(i); err != nil {
			return err
		}
		if err := x.start(); err != nil {
			return err
		}
	}
	if err := c.wait(waitLimit(), c.serving); err != nil {
		return err
	}
	if err := c.commitDocument(); err != nil {
		return err
	}
	return c.wait(waitLimit(), c.ready)
}

// startStandins starts everything but the daemons, whose addresses it chooses.
func (c *cell) startStandins(instances, workers int) error {
	c.platform = c.newStandin("platform", "platform", "--address", "0.0.0.0:0")
	if err := c.platform.launch(); err != nil {
		return err
	}
	for i := range workers {
		if err := c.addWorker(i); err != nil {
			return err
		}
	}
	args := []string{"balancer"}
	for i := range instances {
		if err := c.addInstance(i); err != nil {
			return err
		}
		args = append(args, "--entry", c.instances[i].caller.String())
	}
	c.balancer = c.newStandin("balancer", args...)
	if err := c.balancer.launch(); err != nil {
		return err
	}
	if err := c.startLinks(); err != nil {
		return err
	}
	return c.publish()
}

// writeCredentials writes a token file for each team that may edit.
func (c *cell) writeCredentials() error {
	digests := map[string][]string{}
	for _, team := range []string{"operators", "gates", "treasury", "agronomy", "records"} {
		token := rand.Text()
		digest := sha256.Sum256([]byte(token))
		digests[team] = []string{hex.EncodeToString(digest[:])}
		if err := os.WriteFile(filepath.Join(c.folder, team+".token"), []byte(token), 0o600); err != nil {
			return err
		}
		if team == "operators" {
			c.token = token
		}
	}
	text, err := json.Marshal(digests)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(c.folder, "credentials.json"), text, 0o600)
}

func (c *cell) addWorker(i int) error {
	name := fmt.Sprintf("worker-%d", i+1)
	args := []string{"worker", "--id", name, "--data-centre", dataCentre(i), "--rack", dataCentre(i) + "-rack-1"}
	for key, value := range c.options {
		if flag, ok := strings.CutPrefix(key, "worker."); ok {
			args = append(args, "--"+flag)
			if value != "true" { // a switch takes no value
				args = append(args, value)
			}
		}
	}
	w := c.newStandin(name, args...)
	c.workers = append(c.workers, w)
	return w.launch()
}

func (c *cell) addInstance(i int) error {
	a := make([]netip.AddrPort, 4)
	for n := range a {
		var err error
		if a[n], err = c.network.FreeAddress(i); err != nil {
			return err
		}
	}
	name := fmt.Sprintf("entry-%d", i+1)
	c.instances = append(c.instances, &instance{
		process:    c.newProcess(name, "fuchsiacrossd", "--settings", filepath.Join(c.folder, name+".json")),
		dataCentre: dataCentre(i),
		caller:     a[0],
		operator:   a[1],
		peer:       a[2],
		metrics:    a[3],
		client:     c.newClient(a[:1], a[1:2]),
		direct:     newDirect(a[0]),
	})
	return nil
}

// platformHost returns the IP address at which the instance with an index reaches
// the platform, which tells askers apart by it.
func (c *cell) platformHost(i int) netip.Addr {
	const offset = 100
	return c.network.Host(offset + i)
}

func (c *cell) newClient(entries, operators []netip.AddrPort) *client.Client {
	return client.New(client.Options{Entries: entries, Operators: operators, Token: c.token})
}

// writeSettings writes the settings file of an instance.
func (c *cell) writeSettings(i int) error {
	x := c.instances[i]
	var peers []map[string]any
	for _, other := range c.instances {
		if other != x {
			peers = append(peers, map[string]any{
				"instance":    other.name,
				"address":     c.links.Links[linkName(x.name, other.name)],
				"data_centre": other.dataCentre,
			})
		}
	}
	s := map[string]any{
		"instance":         x.name,
		"data_centre":      x.dataCentre,
		"caller_address":   x.caller,
		"operator_address": x.operator,
		"peer_address":     x.peer,
		"metrics_address":  x.metrics,
		"platform_address": c.links.Links[linkName(x.name, "platform")],
		"credentials_file": filepath.Join(c.folder, "credentials.json"),
		"peers":            peers,
	}
	for key, value := range c.options {
		if !strings.HasPrefix(key, "worker.") {
			s[key] = json.RawMessage(value)
		}
	}
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(c.folder, x.name+".json"), text, 0o600)
}

// publish tells the platform which workers and instances there are.
func (c *cell) publish() error {
	views := map[netip.Addr]map[string]netip.AddrPort{}
	var workers, instances []map[string]any
	for i, w := range c.workers {
		_, leaving := c.leaving[w.name]
		workers = append(workers, map[string]any{
			"id": w.name, "address": w.Address, "data_centre": dataCentre(i),
			"rack": dataCentre(i) + "-rack-1", "leaving": leaving,
		})
	}
	for i, x := range c.instances {
		instances = append(instances, map[string]any{
			"id": x.name, "peer_address": x.peer, "data_centre": x.dataCentre, "weight": 1,
		})
		view := map[string]netip.AddrPort{}
		for _, other := range c.instances {
			if other != x {
				view[other.name] = c.links.Links[linkName(x.name, other.name)]
			}
		}
		views[c.platformHost(i)] = view
	}
	if err := c.platform.put("PUT", "views", views); err != nil {
		return err
	}
	return c.platform.put("PUT", "list", map[string]any{"workers": workers, "instances": instances})
}

func (c *cell) commitDocument() error {
	sections, err := examples.Sections("coban")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(context.Background(), waitLimit())
	defer cancel()
	for _, s := range sections {
		if err := c.instances[0].edit(ctx, s.Name, string(s.Body), 0); err != nil {
			return err
		}
	}
	return nil
}

// alive returns the instances that run, the one with an index first.
func (c *cell) alive(first int) []*instance {
	var alive []*instance
	for i := range c.instances {
		if x := c.instances[(first+i)%len(c.instances)]; x.alive() {
			alive = append(alive, x)
		}
	}
	return alive
}

// clientFrom returns a client that tries all entries, one of them first.
func (c *cell) clientFrom(first int) *client.Client {
	var entries, operators []netip.AddrPort
	for i := range c.instances {
		x := c.instances[(first+i)%len(c.instances)]
		entries, operators = append(entries, x.caller), append(operators, x.operator)
	}
	return c.newClient(entries, operators)
}

func (c *cell) instance(name string) (*instance, error) {
	for _, x := range c.instances {
		if x.name == name {
			return x, nil
		}
	}
	return nil, errors.Errorf("no instance %q", name)
}

func (c *cell) worker(name string) (*standin, error) {
	for _, w := range c.workers {
		if w.name == name {
			return w, nil
		}
	}
	return nil, errors.Errorf("no worker %q", name)
}

// close ends every process.
func (c *cell) close() {
	for _, l := range c.loads {
		l.cancel()
	}
	for _, x := range c.instances {
		x.kill()
	}
	for _, s := range append([]*standin{c.platform, c.links, c.balancer}, c.workers...) {
		if s != nil {
			s.kill()
		}
	}
}
