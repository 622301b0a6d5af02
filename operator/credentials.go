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

// OperatorsTeam is the team that may edit the section of the cell and create sections.
const OperatorsTeam model.Team = "operators"

// credentialsCheckInterval is the shortest time between checks whether the credentials
// file has changed.
const credentialsCheckInterval = time.Second

// tokenDigest is the SHA-256 digest of a bearer token.
type tokenDigest [sha256.Size]byte

// Credentials maps bearer tokens to teams. It reads them from a file with a JSON object
// that maps the name of each team to a list of hexadecimal SHA-256 digests of tokens,
// so that the file contains no tokens. When the file changes, it is loaded again; if
// the new content is invalid, the former one remains in force. Credentials is safe for
// concurrent use.
type Credentials struct {
	path string
	now  func() time.Time
	log  *zap.Logger

	mu        sync.Mutex
	teams     map[tokenDigest]model.Team
	fileInfo  os.FileInfo // state of the file when it was last read
	checkedAt time.Time
}

// LoadCredentials reads a credentials file. If an entry is invalid, the error wraps a
// finding.List.
func LoadCredentials(path string, now func() time.Time, log *zap.Logger) (*Credentials, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "credentials")
	}
	teams, err := readCredentials(path)
	if err != nil {
		return nil, err
	}
	return &Credentials{path: path, now: now, log: log, teams: teams, fileInfo: info, checkedAt: now()}, nil
}

// Team returns the team of a token, and whether the token is valid.
func (c *Credentials) Team(token string) (model.Team, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reloadIfChanged()
	// Looking up the digest instead of the token prevents timing attacks: the time
	// of the lookup reveals nothing about valid tokens.
	team, ok := c.teams[sha256.Sum256([]byte(token))]
	return team, ok
}

// reloadIfChanged reads the file again if it has changed. c.mu must be held.
func (c *Credentials) reloadIfChanged() {
	now := c.now()
	if now.Sub(c.checkedAt) < credentialsCheckInterval {
		return
	}
	c.checkedAt = now
	info, err := os.Stat(c.path)
	if err != nil {
		logevent.CredentialsNotReloaded.Log(c.log, zap.Error(err))
		return
	}
	if os.SameFile(info, c.fileInfo) && info.ModTime().Equal(c.fileInfo.ModTime()) && info.Size() == c.fileInfo.Size() {
		return
	}
	teams, err := readCredentials(c.path)
	if err != nil {
		// The file counts as unread, so that the next check reads it again: a token that was
		// withdrawn must not stay valid because of one failed read.
		logevent.CredentialsNotReloaded.Log(c.log, zap.Error(err))
		return
	}
	c.teams, c.fileInfo = teams, info
	logevent.CredentialsReloaded.Log(c.log, zap.Int("tokens", len(teams)))
}

func readCredentials(path string) (map[tokenDigest]model.Team, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "credentials")
	}
	var digestsByTeam map[string][]string
	if err := json.Unmarshal(data, &digestsByTeam); err != nil {
		return nil, errors.Wrapf(err, "credentials file %s", path)
	}
	var fs finding.List
	teams := make(map[tokenDigest]model.Team)
	for team, digests := range digestsByTeam {
		if !document.IsValidName(team) {
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
