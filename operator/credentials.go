package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fuchsiacross/document"
	"fuchsiacross/finding"
	"fuchsiacross/logevent"
	"fuchsiacross/model"
)

// Operators is the team that may edit the section of the cell and create
// sections.
const OperatorsTeam model.Team = "operators"

// recheckInterval bounds how often the credentials file is examined.
const recheckInterval = time.Second

type tokenDigest [sha256.Size]byte

// Credentials maps bearer tokens to teams. The file is a JSON object from the
// name of a team to a list of SHA-256 digests of tokens in hexadecimal, so
// that it holds no token. It is read again when it has changed; while its new
// content is not valid, the former one stays in force. Credentials is safe for
// concurrent use.
type Credentials struct {
	path string
	now  func() time.Time
	log  *zap.Logger

	mu      sync.Mutex
	teams   map[tokenDigest]model.Team
	read    os.FileInfo // the file that was last read
	checked time.Time
}

// LoadCredentials reads a credentials file. The error carries a finding.List.
func LoadCredentials(path string, now func() time.Time, log *zap.Logger) (*Credentials, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "credentials")
	}
	teams, err := readCredentials(path)
	if err != nil {
		return nil, err
	}
	return &Credentials{path: path, now: now, log: log, teams: teams, read: info, checked: now()}, nil
}

// Team returns the team that a token belongs to.
func (c *Credentials) Team(token string) (model.Team, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reload()
	// The digest of the token is looked up, so the time that this takes says
	// nothing about the tokens on file.
	team, ok := c.teams[sha256.Sum256([]byte(token))]
	return team, ok
}

// reload reads the file again if it has changed. The caller holds the lock.
func (c *Credentials) reload() {
	now := c.now()
	if now.Sub(c.checked) < recheckInterval {
		return
	}
	c.checked = now
	info, err := os.Stat(c.path)
	if err != nil {
		logevent.CredentialsStale.Log(c.log, zap.Error(err))
		return
	}
	if os.SameFile(info, c.read) && info.ModTime().Equal(c.read.ModTime()) && info.Size() == c.read.Size() {
		return
	}
	c.read = info
	teams, err := readCredentials(c.path)
	if err != nil {
		logevent.CredentialsStale.Log(c.log, zap.Error(err))
		return
	}
	c.teams = teams
	logevent.CredentialsRead.Log(c.log, zap.Int("tokens", len(teams)))
}

func readCredentials(path string) (map[tokenDigest]model.Team, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "credentials")
	}
	var lists map[string][]string
	if err := json.Unmarshal(data, &lists); err != nil {
		return nil, errors.Wrapf(err, "credentials file %s", path)
	}
	var fs finding.List
	teams := make(map[tokenDigest]model.Team)
	for team, digests := range lists {
		if !document.ValidName(team) {
			fs.Add(path+"#/"+team, "is not the name of a team")
		}
		for i, text := range digests {
			place := fmt.Sprintf("%s#/%s/%d", path, team, i)
			digest, err := hex.DecodeString(text)
			if err != nil || len(digest) != sha256.Size {
				fs.Add(place, "is not a SHA-256 digest of 64 hexadecimal digits")
				continue
			}
			key := tokenDigest(digest)
			if _, ok := teams[key]; ok {
				fs.Add(place, "is given twice")
			}
			teams[key] = model.Team(team)
		}
	}
	return teams, fs.Err()
}
