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

// credential is the bearer token of the operators team and the credentials file
// that holds its digest.
type credential struct {
	token string
	file  string
}

func newCredential() (credential, error) {
	folder, err := os.MkdirTemp("", "localcell")
	if err != nil {
		return credential{}, errors.Wrap(err, "create credentials folder")
	}
	c := credential{token: rand.Text(), file: filepath.Join(folder, "credentials.json")}
	digest := sha256.Sum256([]byte(c.token))
	text, err := json.Marshal(map[string][]string{string(operator.OperatorsTeam): {hex.EncodeToString(digest[:])}})
	if err != nil {
		return credential{}, errors.Wrap(err, "encode credentials")
	}
	if err := os.WriteFile(c.file, text, 0o600); err != nil {
		return credential{}, errors.Wrap(err, "write credentials file")
	}
	return c, nil
}

// remove deletes the credentials file and its folder.
func (c credential) remove() {
	if c.file != "" {
		_ = os.RemoveAll(filepath.Dir(c.file))
	}
}

// clientOption returns a client option that adds the token to every call.
func (c credential) clientOption() connect.Option {
	return connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set("Authorization", "Bearer "+c.token)
			return next(ctx, r)
		}
	}))
}
