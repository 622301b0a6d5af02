package localcell

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"fuchsiacross/operator"
)

// credential is a bearer token of the operators with the file that names its
// digest.
type credential struct {
	token string
	file  string
}

func newCredential() (credential, error) {
	folder, err := os.MkdirTemp("", "localcell")
	if err != nil {
		return credential{}, errors.Wrap(err, "credentials")
	}
	c := credential{token: rand.Text(), file: filepath.Join(folder, "credentials.json")}
	digest := sha256.Sum256([]byte(c.token))
	text, err := json.Marshal(map[string][]string{string(operator.OperatorsTeam): {hex.EncodeToString(digest[:])}})
	if err != nil {
		return credential{}, errors.Wrap(err, "credentials")
	}
	if err := os.WriteFile(c.file, text, 0o600); err != nil {
		return credential{}, errors.Wrap(err, "credentials")
	}
	return c, nil
}

func (c credential) remove() {
	if c.file != "" {
		_ = os.RemoveAll(filepath.Dir(c.file))
	}
}

// option adds the token to every call of a client.
func (c credential) option() connect.Option {
	return connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set("Authorization", "Bearer "+c.token)
			return next(ctx, r)
		}
	}))
}
