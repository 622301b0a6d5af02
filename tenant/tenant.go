// Package tenant decides from the keys of requests which tenant they belong to. Tenants are
// customers that share the workers of a deployment.
//
// A key is only ever compared by its SHA-256 digest, so that the time of a comparison does
// not depend on how much of a key is correct. No error or result contains any part of a key.
//
// # Usage
//
//	d := tenant.NewDirectory(configuration.Tenants)
//	name, err := d.Authenticate(request.Header["Authorization"])
package tenant

import (
	"crypto/sha256"
	"strings"

	"fuchsiacross/job"
)

// MaxKeyBytes is the length of the longest key.
const MaxKeyBytes = 256

// scheme is the authentication scheme of a key in its header. Its case does not matter.
const scheme = "Bearer"

// KeyError is the reason why a request has no valid key.
type KeyError string

// Reasons for the refusal of a key.
const (
	ErrMissing   KeyError = "the request has no Authorization header"
	ErrRepeated  KeyError = "the request has more than one Authorization header"
	ErrMalformed KeyError = "the Authorization header is not of the form Bearer KEY"
	ErrOversized KeyError = "the key is longer than 256 bytes"
	ErrUnknown   KeyError = "the key is not known"
)

func (e KeyError) Error() string { return string(e) }

// Cause returns a short name of the reason for metrics and logs.
func (e KeyError) Cause() string {
	names := []struct {
		err  KeyError
		name string
	}{{ErrMissing, "missing"}, {ErrRepeated, "repeated"}, {ErrMalformed, "malformed"}, {ErrOversized, "oversized"}}
	for _, n := range names {
		if n.err == e {
			return n.name
		}
	}
	return "unknown"
}

// Digest returns the form in which a key is kept.
func Digest(key string) [sha256.Size]byte { return sha256.Sum256([]byte(key)) }

// Directory finds the tenants of keys. It is immutable.
type Directory struct {
	names map[[sha256.Size]byte]string // by the digest of a key
}

// NewDirectory returns the directory of the tenants of a configuration.
func NewDirectory(tenants []job.Tenant) *Directory {
	d := &Directory{names: map[[sha256.Size]byte]string{}}
	for _, t := range tenants {
		for _, digest := range t.KeyDigests {
			d.names[digest] = t.Name
		}
	}
	return d
}

// Authenticate returns the tenant of the key in the Authorization headers of a request. The
// error is a KeyError.
func (d *Directory) Authenticate(header []string) (name string, err error) {
	if len(header) == 0 {
		return "", ErrMissing
	}
	if len(header) > 1 {
		return "", ErrRepeated
	}
	given, key, separated := strings.Cut(header[0], " ")
	if !separated || !strings.EqualFold(given, scheme) {
		return "", ErrMalformed
	}
	// RFC 9110 allows several spaces behind the scheme.
	key = strings.TrimLeft(key, " ")
	if len(key) > MaxKeyBytes {
		return "", ErrOversized
	}
	if key == "" || strings.ContainsAny(key, " \t") {
		return "", ErrMalformed
	}
	name, known := d.names[Digest(key)]
	if !known {
		return "", ErrUnknown
	}
	return name, nil
}
