package carawaycross_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const modulePrefix = "carawaycross.example/carawaycross/"

// decisionPackages hold the decisions. They compute on values alone: without input or
// output, clocks, goroutines and global random sources.
var decisionPackages = []string{
	"ident", "policy", "container", "fairness", "preset", "config", "snapshot", "coverage", "replica",
	"retry", "admission", "poison", "booking", "view", "node", "roster", "news", "control",
	"route", "passage", "merge", "catalogue", "rollout", "tenant", "intake", "usage", "pace", "subset", "audit",
}

// allowedImports are the packages that a decision package may import besides other
// decision packages.
var allowedImports = []string{
	"bytes", "cmp", "container/heap", "errors", "fmt", "maps", "math", "math/bits", "math/rand/v2", "reflect",
	"slices", "strconv", "strings", "time",
	"github.com/cespare/xxhash/v2", "github.com/HdrHistogram/hdrhistogram-go",
}

// packageImports holds further imports that are allowed in one decision package only.
var packageImports = map[string][]string{"view": {"sync/atomic"}}

// forbiddenCalls lists, by package, the functions that read a clock, wait, or use a
// global random source.
var forbiddenCalls = map[string][]string{
	"time": {"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"},
	"rand": {"Int", "IntN", "Int64", "Uint64", "Uint32", "Float64", "Perm", "Shuffle", "N"},
}

func TestDecisionPackagesArePure(t *testing.T) {
	for _, pkg := range decisionPackages {
		files, err := filepath.Glob(filepath.Join("core", pkg, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: found no files (%v)", pkg, err)
		}
		for _, path := range files {
			if !strings.HasSuffix(path, "_test.go") {
				for _, violation := range findViolations(t, pkg, path) {
					t.Errorf("%s: %s", path, violation)
				}
			}
		}
	}
}

// TestPurityCheckFindsViolations checks that TestDecisionPackagesArePure can fail.
func TestPurityCheckFindsViolations(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.go")
	text := "package bad\nimport (\n\"net\"\n\"time\"\n\"math/rand/v2\"\n)\nvar _ net.IP\n" +
		"func f() { go f(); _ = time.Now(); _ = rand.IntN(3) }\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := len(findViolations(t, "bad", path)); got != 4 {
		t.Fatalf("found %d violations, expected 4", got)
	}
}

// findViolations returns the forbidden imports, calls and go statements in a file of a
// decision package.
func findViolations(t *testing.T, pkg, path string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var violations []string
	for _, i := range file.Imports {
		name, err := strconv.Unquote(i.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		if !importAllowed(pkg, name) {
			violations = append(violations, "imports "+name)
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			violations = append(violations, "starts a goroutine")
		case *ast.SelectorExpr:
			if qualifier, ok := n.X.(*ast.Ident); ok && slices.Contains(forbiddenCalls[qualifier.Name], n.Sel.Name) {
				violations = append(violations, "uses "+qualifier.Name+"."+n.Sel.Name)
			}
		}
		return true
	})
	return violations
}

func importAllowed(pkg, name string) bool {
	if decisionPkg, ok := strings.CutPrefix(name, modulePrefix+"core/"); ok {
		return slices.Contains(decisionPackages, decisionPkg)
	}
	return slices.Contains(allowedImports, name) || slices.Contains(packageImports[pkg], name)
}

// wireNames are headers, fields, paths and variables of the users' platform. Only package
// platform may contain their names.
var wireNames = []string{
	"Carawaycross-", "weightedBackends", "warmupLeftMs", "warmupPerS", "minCoverage", "pathPrefix", "listenAddrs",
	"storeRevision", "targetLatencyMs", "routeType", "maxConcurrency", "non_idempotent", "CARAWAYCROSS_BOOT",
	"/api/", "allowStale", "healthPath", "topK",
}

func TestWireNamesOnlyInPlatform(t *testing.T) {
	for _, violation := range findWireNames(t, ".") {
		t.Error(violation)
	}
}

// TestWireNameCheckFindsViolations checks that TestWireNamesOnlyInPlatform can fail.
func TestWireNameCheckFindsViolations(t *testing.T) {
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "bad.go"), []byte("package bad\n\nconst h = \"Carawaycross-Request-Id\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := len(findWireNames(t, folder)); got != 1 {
		t.Fatalf("found %d violations, expected 1", got)
	}
}

// findWireNames returns the wire names in source files outside package platform.
func findWireNames(t *testing.T, root string) []string {
	t.Helper()
	var violations []string
	err := filepath.WalkDir(root, func(path string, d os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (path == "platform" || (strings.HasPrefix(d.Name(), ".") && path != ".")) {
			return filepath.SkipDir
		}
		isSource := strings.HasSuffix(path, ".proto") || (strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go"))
		if d.IsDir() || !isSource {
			return nil
		}
		text, err := os.ReadFile(path)
		for _, name := range wireNames {
			if strings.Contains(string(text), name) {
				violations = append(violations, path+" contains the wire name "+name)
			}
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return violations
}
