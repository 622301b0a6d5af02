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

// cell is the cell of one script. Each daemon and stand-in is a process.
type cell struct {
	workDir       string // the script's working folder, which also holds logs and settings
	programDir    string
	network       *loopback.Network
	options       map[string]string // settings of the daemons, and worker flags with the prefix "worker."
	operatorToken string
	platform      *standin
	links         *standin
	balancer      *standin
	workers       []*standin
	instances     []*instance
	loads         map[string]*load
	leavingSince  map[string]time.Time       // by worker, when the list marked it as leaving
	failures      map[string]instanceFailure // by instance, the latest crash or freeze
	faultsByLink  map[string]linkFaults      // by link name
	startedAt     time.Time
}

// instanceFailure records when an instance was killed or frozen and the workers
// whose lease it held.
type instanceFailure struct {
	at          time.Time
	heldWorkers []string
}

func newCell(workDir, programDir string) *cell {
	return &cell{
		workDir:      workDir,
		programDir:   programDir,
		network:      loopback.New(),
		loads:        map[string]*load{},
		leavingSince: map[string]time.Time{},
		failures:     map[string]instanceFailure{},
		faultsByLink: map[string]linkFaults{},
		startedAt:    time.Now(),
	}
}

const dataCentreCount = 3

func dataCentre(i int) string { return fmt.Sprintf("alta-verapaz-%d", i%dataCentreCount+1) }

func (c *cell) newProcess(name, program string, args ...string) process {
	return process{
		name:    name,
		program: filepath.Join(c.programDir, program),
		args:    args,
		logFile: filepath.Join(c.workDir, name+".log"),
	}
}

func (c *cell) newStandin(name string, args ...string) *standin {
	ready := filepath.Join(c.workDir, name+".ready")
	return &standin{process: c.newProcess(name, "standin", append(args, "--ready-file", ready)...), readyFile: ready}
}

// startAll starts every process, commits the document and waits until the cell
// is ready.
func (c *cell) startAll(instances, workers int, options map[string]string) error {
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
	if err := c.waitFor(waitDeadline(), c.checkServing); err != nil {
		return err
	}
	if err := c.commitDocument(); err != nil {
		return err
	}
	return c.waitFor(waitDeadline(), c.checkReady)
}

// startStandins starts all stand-ins. It also chooses the addresses of the
// daemons, which the load balancer and the links need.
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
		args = append(args, "--entry", c.instances[i].callerAddress.String())
	}
	c.balancer = c.newStandin("balancer", args...)
	if err := c.balancer.launch(); err != nil {
		return err
	}
	if err := c.startLinks(); err != nil {
		return err
	}
	return c.publishList()
}

// writeCredentials writes the credentials file and a token file for each team
// that may edit.
func (c *cell) writeCredentials() error {
	digests := map[string][]string{}
	for _, team := range []string{"operators", "gates", "treasury", "agronomy", "records"} {
		token := rand.Text()
		digest := sha256.Sum256([]byte(token))
		digests[team] = []string{hex.EncodeToString(digest[:])}
		if err := os.WriteFile(filepath.Join(c.workDir, team+".token"), []byte(token), 0o600); err != nil {
			return err
		}
		if team == "operators" {
			c.operatorToken = token
		}
	}
	text, err := json.Marshal(digests)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(c.workDir, "credentials.json"), text, 0o600)
}

func (c *cell) addWorker(i int) error {
	name := fmt.Sprintf("worker-%d", i+1)
	args := []string{"worker", "--id", name, "--data-centre", dataCentre(i), "--rack", dataCentre(i) + "-rack-1"}
	for key, value := range c.options {
		if flag, ok := strings.CutPrefix(key, "worker."); ok {
			args = append(args, "--"+flag)
			if value != "true" { // boolean flags take no value
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
		process:         c.newProcess(name, "fuchsiacrossd", "--settings", filepath.Join(c.workDir, name+".json")),
		dataCentre:      dataCentre(i),
		callerAddress:   a[0],
		operatorAddress: a[1],
		peerAddress:     a[2],
		metricsAddress:  a[3],
		client:          c.newClient(a[:1], a[1:2]),
		http2Client:     newHTTP2Client(a[0]),
	})
	return nil
}

// platformIP returns the IP address at which the instance with an index reaches
// the platform. Each instance has its own, because the platform's stand-in
// distinguishes its clients by it.
func (c *cell) platformIP(i int) netip.Addr {
	const offset = 100
	return c.network.Host(offset + i)
}

func (c *cell) newClient(entries, operators []netip.AddrPort) *client.Client {
	return client.New(client.Options{Entries: entries, Operators: operators, Token: c.operatorToken})
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
		"caller_address":   x.callerAddress,
		"operator_address": x.operatorAddress,
		"peer_address":     x.peerAddress,
		"metrics_address":  x.metricsAddress,
		"platform_address": c.links.Links[linkName(x.name, "platform")],
		"credentials_file": filepath.Join(c.workDir, "credentials.json"),
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
	return os.WriteFile(filepath.Join(c.workDir, x.name+".json"), text, 0o600)
}

// publishList sends the platform the list of workers and instances, and for each
// instance the addresses of its links to the others.
func (c *cell) publishList() error {
	views := map[netip.Addr]map[string]netip.AddrPort{}
	var workers, instances []map[string]any
	for i, w := range c.workers {
		_, leaving := c.leavingSince[w.name]
		workers = append(workers, map[string]any{
			"id": w.name, "address": w.Address, "data_centre": dataCentre(i),
			"rack": dataCentre(i) + "-rack-1", "leaving": leaving,
		})
	}
	for i, x := range c.instances {
		instances = append(instances, map[string]any{
			"id": x.name, "peer_address": x.peerAddress, "data_centre": x.dataCentre, "weight": 1,
		})
		view := map[string]netip.AddrPort{}
		for _, other := range c.instances {
			if other != x {
				view[other.name] = c.links.Links[linkName(x.name, other.name)]
			}
		}
		views[c.platformIP(i)] = view
	}
	if err := c.platform.sendJSON("PUT", "views", views); err != nil {
		return err
	}
	return c.platform.sendJSON("PUT", "list", map[string]any{"workers": workers, "instances": instances})
}

func (c *cell) commitDocument() error {
	sections, err := examples.Sections("coban")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(context.Background(), waitDeadline())
	defer cancel()
	for _, s := range sections {
		if err := c.instances[0].editSection(ctx, s.Name, string(s.Body), 0); err != nil {
			return err
		}
	}
	return nil
}

// activeInstances returns the instances that are running and not frozen, in order
// from the index first.
func (c *cell) activeInstances(first int) []*instance {
	var active []*instance
	for i := range c.instances {
		if x := c.instances[(first+i)%len(c.instances)]; x.isActive() {
			active = append(active, x)
		}
	}
	return active
}

// newClientWithFirst returns a client that tries all instances in order from the
// index first.
func (c *cell) newClientWithFirst(first int) *client.Client {
	var entries, operators []netip.AddrPort
	for i := range c.instances {
		x := c.instances[(first+i)%len(c.instances)]
		entries, operators = append(entries, x.callerAddress), append(operators, x.operatorAddress)
	}
	return c.newClient(entries, operators)
}

func (c *cell) findInstance(name string) (*instance, error) {
	for _, x := range c.instances {
		if x.name == name {
			return x, nil
		}
	}
	return nil, errors.Errorf("no instance %q", name)
}

func (c *cell) findWorker(name string) (*standin, error) {
	for _, w := range c.workers {
		if w.name == name {
			return w, nil
		}
	}
	return nil, errors.Errorf("no worker %q", name)
}

// killAll cancels the loads and kills every process.
func (c *cell) killAll() {
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
