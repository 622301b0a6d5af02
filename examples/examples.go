// Package examples embeds the example documents of the deployments coban and
// schrijfkraam, so that a small cell can be started without any file.
//
// # Usage
//
//	sections, err := examples.Sections("coban")
package examples

import (
	"embed"
	"io/fs"
	"path"
	"strings"

	"github.com/go-faster/errors"
)

//go:embed coban/document/*.json schrijfkraam/document/*.json
var files embed.FS

// Section is one section of a document, with its body in JSON.
type Section struct {
	Name string
	Body []byte
}

// Sections returns the sections of the example document of a deployment, with the
// section "cell" first. It fails if the deployment has no example document.
func Sections(deployment string) ([]Section, error) {
	folder := path.Join(deployment, "document")
	entries, err := fs.ReadDir(files, folder)
	if err != nil {
		return nil, errors.Errorf("deployment %q has no example document", deployment)
	}
	var sections []Section
	for _, e := range entries {
		body, err := files.ReadFile(path.Join(folder, e.Name()))
		if err != nil {
			return nil, errors.Wrap(err, "read section")
		}
		s := Section{Name: strings.TrimSuffix(e.Name(), ".json"), Body: body}
		if s.Name == "cell" {
			sections = append([]Section{s}, sections...)
			continue
		}
		sections = append(sections, s)
	}
	return sections, nil
}
