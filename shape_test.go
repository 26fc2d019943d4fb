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

const module = "carawaycross.example/carawaycross/"

// decisionPackages hold decisions: values in, values out.
var decisionPackages = []string{
	"ident", "policy", "container", "preset", "config", "snapshot", "coverage", "replica",
	"retry", "admission", "poison", "booking", "view", "node", "roster", "news", "control",
	"route", "passage", "merge", "catalogue",
}

// allowedImports are what a decision package may import besides its like.
var allowedImports = []string{
	"bytes", "cmp", "container/heap", "errors", "fmt", "maps", "math", "math/bits", "math/rand/v2", "reflect",
	"slices", "strconv", "strings", "time",
	"github.com/cespare/xxhash/v2", "github.com/HdrHistogram/hdrhistogram-go",
}

// imports allowed to one package only.
var extraImports = map[string][]string{"view": {"sync/atomic"}}

// forbiddenCalls read a clock, wait, or draw from a global random source.
var forbiddenCalls = map[string][]string{
	"time": {"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"},
	"rand": {"Int", "IntN", "Int64", "Uint64", "Uint32", "Float64", "Perm", "Shuffle", "N"},
}

func TestDecisionPackagesKeepToValues(t *testing.T) {
	for _, pkg := range decisionPackages {
		files, err := filepath.Glob(filepath.Join("core", pkg, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: found no files (%v)", pkg, err)
		}
		for _, path := range files {
			if !strings.HasSuffix(path, "_test.go") {
				for _, fault := range faults(t, pkg, path) {
					t.Errorf("%s: %s", path, fault)
				}
			}
		}
	}
}

// TestShapeCheckFindsFaults proves that the check above can fail.
func TestShapeCheckFindsFaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.go")
	text := "package bad\nimport (\n\"net\"\n\"time\"\n\"math/rand/v2\"\n)\nvar _ net.IP\n" +
		"func f() { go f(); _ = time.Now(); _ = rand.IntN(3) }\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := len(faults(t, "bad", path)); got != 4 {
		t.Fatalf("found %d faults, expected 4", got)
	}
}

func faults(t *testing.T, pkg, path string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, i := range file.Imports {
		name, err := strconv.Unquote(i.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		if !importAllowed(pkg, name) {
			out = append(out, "imports "+name)
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			out = append(out, "starts a goroutine")
		case *ast.SelectorExpr:
			if x, ok := n.X.(*ast.Ident); ok && slices.Contains(forbiddenCalls[x.Name], n.Sel.Name) {
				out = append(out, "uses "+x.Name+"."+n.Sel.Name)
			}
		}
		return true
	})
	return out
}

func importAllowed(pkg, name string) bool {
	if own, ok := strings.CutPrefix(name, module+"core/"); ok {
		return slices.Contains(decisionPackages, own)
	}
	return slices.Contains(allowedImports, name) || slices.Contains(extraImports[pkg], name)
}

// wireNames are names of the users' platform that stand in package platform only.
var wireNames = []string{
	"Carawaycross-", "weightedBackends", "warmupLeftMs", "warmupPerS", "minCoverage", "pathPrefix", "listenAddrs",
	"storeRevision", "targetLatencyMs", "routeType", "maxConcurrency", "non_idempotent", "CARAWAYCROSS_BOOT",
	"/api/", "allowStale", "healthPath", "topK",
}

func TestWireNamesStayInPlatform(t *testing.T) {
	for _, fault := range wireFaults(t, ".") {
		t.Error(fault)
	}
}

// TestWireCheckFindsFaults proves that the check above can fail.
func TestWireCheckFindsFaults(t *testing.T) {
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "bad.go"), []byte("package bad\n\nconst h = \"Carawaycross-Request-Id\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := len(wireFaults(t, folder)); got != 1 {
		t.Fatalf("found %d faults, expected 1", got)
	}
}

func wireFaults(t *testing.T, root string) []string {
	t.Helper()
	var out []string
	err := filepath.WalkDir(root, func(path string, d os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (path == "platform" || (strings.HasPrefix(d.Name(), ".") && path != ".")) {
			return filepath.SkipDir
		}
		code := strings.HasSuffix(path, ".proto") || (strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go"))
		if d.IsDir() || !code {
			return nil
		}
		text, err := os.ReadFile(path)
		for _, name := range wireNames {
			if strings.Contains(string(text), name) {
				out = append(out, path+" holds the wire name "+name)
			}
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}
