package main

import (
	"flag"
	"net"
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

var update = flag.Bool("update", false, "rewrite the golden sessions")

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"bronzedoor": func() { os.Exit(run()) },
	})
}

// ports is the number of free ports that a session gets, as $P1 and so on.
const ports = 20

func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: *update,
		Setup:         giveAddresses,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"fill": fill,
		},
	})
}

// giveAddresses sets $P1 and so on to addresses with free ports.
func giveAddresses(env *testscript.Env) error {
	for i := range ports {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer l.Close()
		env.Setenv("P"+strconv.Itoa(i+1), l.Addr().String())
	}
	return nil
}

var variable = regexp.MustCompile(`\$\w+`)

// fill replaces the variables in files.
func fill(ts *testscript.TestScript, neg bool, args []string) {
	for _, name := range args {
		text := variable.ReplaceAllStringFunc(ts.ReadFile(name), func(v string) string {
			return ts.Getenv(v[1:])
		})
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o644))
	}
}
