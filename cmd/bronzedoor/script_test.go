package main

import (
	"flag"
	"fmt"
	"net"
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

var update = flag.Bool("update", false, "rewrite the expected output in testdata/*.txtar")

// TestMain lets the scripts run this test binary as the command bronzedoor.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"bronzedoor": func() { os.Exit(run()) },
	})
}

// portCount is the number of addresses that a script gets, as $P1, $P2 and so on.
const portCount = 20

// TestSessions runs the scripts in testdata.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: *update,
		Setup:         setAddresses,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"fill": expandVars,
		},
	})
}

// setAddresses sets $P1, $P2 and so on to addresses with free ports. The
// listeners close only after all ports are chosen, so that no two are equal. The
// addresses are of an IP number that only this process uses: on 127.0.0.1, from which
// all processes connect, a chosen port was once taken before it was used.
func setAddresses(env *testscript.Env) error {
	ip := fmt.Sprintf("127.210.%d.%d", os.Getpid()/250%250, 1+os.Getpid()%250)
	for i := range portCount {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return err
		}
		defer l.Close()
		env.Setenv("P"+strconv.Itoa(i+1), l.Addr().String())
	}
	return nil
}

var varRE = regexp.MustCompile(`\$\w+`)

// expandVars is the script command "fill": it replaces the environment variables
// in the named files by their values.
func expandVars(ts *testscript.TestScript, neg bool, args []string) {
	for _, name := range args {
		text := varRE.ReplaceAllStringFunc(ts.ReadFile(name), func(v string) string {
			return ts.Getenv(v[1:])
		})
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o644))
	}
}
