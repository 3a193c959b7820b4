package main

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const root = "../.."

// imports returns the imports of each Go file below root, by file.
func imports(t *testing.T) map[string][]string {
	out := make(map[string][]string)
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".go" {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		for _, i := range f.Imports {
			p, err := strconv.Unquote(i.Path.Value)
			if err != nil {
				return err
			}
			out[filepath.ToSlash(name)] = append(out[filepath.ToSlash(name)], p)
		}
		return nil
	})
	must.NoError(t, err)
	must.MapNotEmpty(t, out)
	return out
}

// TestImportsGoOneWay checks that what lives shorter than a process does not
// import package process or its parts.
func TestImportsGoOneWay(t *testing.T) {
	const process = "heatherport/internal/process"
	shorter := []string{"internal/request/", "internal/connection/", "internal/version/", "internal/result/"}
	for file, paths := range imports(t) {
		for _, dir := range shorter {
			for _, p := range paths {
				bad := strings.HasPrefix(file, dir) && strings.HasPrefix(p, process)
				must.False(t, bad, must.Sprintf("%s imports %s", file, p))
			}
		}
	}
}

// TestOnlyTheEntryImportsThePlatform checks that what the platform calls things
// stays out of the product.
func TestOnlyTheEntryImportsThePlatform(t *testing.T) {
	for file, paths := range imports(t) {
		for _, p := range paths {
			bad := p == "heatherport/platform" && file != "cmd/heatherport/main.go"
			must.False(t, bad, must.Sprintf("%s imports %s", file, p))
		}
	}
}

// TestProgramStartsNoProcess checks that no file of the program can start
// another process. Tests may.
func TestProgramStartsNoProcess(t *testing.T) {
	for file, paths := range imports(t) {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		for _, p := range paths {
			must.NotEq(t, "os/exec", p, must.Sprintf("%s imports %s", file, p))
		}
	}
}
