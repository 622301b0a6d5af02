package scenario

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/go-faster/errors"
)

const (
	waitTimeoutSeconds = 30 // default limit of a wait and limit of a control call
	pollInterval       = 10 * time.Millisecond
)

// standin is a stand-in that runs as a process of its own. It accepts control
// calls and writes its addresses to a ready file.
type standin struct {
	process
	readyFile string
	// Address, Control and Links are decoded from the ready file.
	Address netip.AddrPort
	Control netip.AddrPort
	Links   map[string]netip.AddrPort
}

// launch starts the stand-in and waits for its ready file.
func (s *standin) launch() error {
	_ = os.Remove(s.readyFile)
	if err := s.start(); err != nil {
		return err
	}
	for limit := time.Now().Add(waitTimeoutSeconds * time.Second); time.Now().Before(limit); time.Sleep(pollInterval) {
		text, err := os.ReadFile(s.readyFile)
		if err == nil {
			return json.Unmarshal(text, s)
		}
		if !s.isRunning() {
			break
		}
	}
	log, _ := os.ReadFile(s.logFile)
	return errors.Errorf("%s is not ready: %s", s.name, log)
}

var controlClient = &http.Client{Timeout: waitTimeoutSeconds * time.Second}

// sendJSON makes a control call with a JSON body.
func (s *standin) sendJSON(method, path string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r, err := http.NewRequest(method, "http://"+s.Control.String()+"/standin/"+path, bytes.NewReader(text))
	if err != nil {
		return err
	}
	response, err := controlClient.Do(r)
	if err != nil {
		return errors.Wrap(err, s.name)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		message, _ := io.ReadAll(response.Body)
		return errors.Errorf("%s: %s %s: %s", s.name, path, response.Status, message)
	}
	return nil
}

// getJSON makes a control call with GET and decodes its JSON answer.
func (s *standin) getJSON(path string, into any) error {
	response, err := controlClient.Get("http://" + s.Control.String() + "/standin/" + path)
	if err != nil {
		return errors.Wrap(err, s.name)
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(into)
}
