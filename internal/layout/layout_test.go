package layout

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const modulePath = "github.com/mangoknot/mangoknot/"

// importRule forbids packages below a folder from importing the listed paths and
// the paths below them.
type importRule struct {
	folder    string
	forbidden []string
}

var importRules = []importRule{
	{"core", []string{
		modulePath + "adapter", modulePath + "node", modulePath + "cmd", modulePath + "emulator",
		"net", "os", "sync", "syscall", "io/fs", "log", "log/slog",
		"google.golang.org/grpc", "google.golang.org/protobuf", "github.com/fxamacker/cbor",
		"github.com/prometheus", "github.com/go-logr",
	}},
	{"port", []string{
		modulePath + "adapter", modulePath + "node", modulePath + "cmd", modulePath + "emulator",
		"net", "os", "google.golang.org/grpc", "google.golang.org/protobuf",
	}},
	{"adapter", []string{modulePath + "node", modulePath + "cmd", modulePath + "emulator"}},
	{"node", []string{modulePath + "adapter", modulePath + "cmd", modulePath + "emulator", "net", "google.golang.org/grpc"}},
}

// Guards against violations of the ports-and-adapters layout, such as a decision
// package that imports a package for sockets, locks or encoding. Test files are
// exempt.
func TestImportDirection(t *testing.T) {
	root := filepath.Join("..", "..")
	for _, rule := range importRules {
		err := filepath.WalkDir(filepath.Join(root, rule.folder), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			checkFile(t, path, rule.forbidden)
			return nil
		})
		if err != nil {
			t.Errorf("walk %s: %v", rule.folder, err)
		}
	}
}

// checkFile reports each forbidden import of a file as a test error.
func checkFile(t *testing.T, path string, forbidden []string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		t.Errorf("parse %s: %v", path, err)
		return
	}
	for _, spec := range file.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Errorf("%s: %v", path, err)
			continue
		}
		for _, prefix := range forbidden {
			if imported == prefix || strings.HasPrefix(imported, prefix+"/") {
				t.Errorf("%s imports %s, which is forbidden in its folder", path, imported)
			}
		}
	}
}
