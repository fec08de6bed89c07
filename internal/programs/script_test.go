package programs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	admin "coltsfootmux/internal/admin/program"
	"coltsfootmux/internal/ctl"
	"coltsfootmux/internal/dev"
	entry "coltsfootmux/internal/entry/program"
	driver "coltsfootmux/internal/load"
	load "coltsfootmux/internal/load/program"
	"coltsfootmux/internal/loopback"
	"coltsfootmux/internal/process"
	scheduler "coltsfootmux/internal/scheduler/program"
)

// testTimeout bounds each wait of a script.
const testTimeout = 30 * time.Second

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"coltsfootmux-admin":     func() { process.Main(admin.Command()) },
		"coltsfootmux-dev":       func() { process.Main(dev.Command()) },
		"coltsfootmux-entry":     func() { process.Main(entry.Command()) },
		"coltsfootmux-load":      func() { process.Main(load.Command()) },
		"coltsfootmux-scheduler": func() { process.Main(scheduler.Command()) },
		"coltsfootmuxctl":        func() { process.Main(ctl.Command()) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"freeports": freePorts,
			"waitfor":   waitFor,
			"register":  register,
			"request":   request,
		},
	})
}

// host provides the addresses on which the scripts' programs listen.
var host = loopback.New(os.Getpid())

// freePorts NAME... sets each variable to an address with a free loopback port.
func freePorts(ts *testscript.TestScript, _ bool, names []string) {
	for _, name := range names {
		addr, err := host.FreeAddr()
		ts.Check(err)
		ts.Setenv(name, addr)
	}
}

// waitFor URL waits until the URL responds with a status below 300.
func waitFor(ts *testscript.TestScript, _ bool, args []string) {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get(args[0])
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode < http.StatusMultipleChoices {
			return
		}
	}
	ts.Fatalf("%s did not respond with a status below 300", args[0])
}

// register HOSTS ROLE ID ADDR adds a program to the stand-in's host list.
func register(ts *testscript.TestScript, _ bool, args []string) {
	body := fmt.Sprintf(`{"id":%q,"role":%q,"addr":%q,"data_centre":"riga-1","region":"home"}`, args[2], args[1], args[3])
	resp, err := http.Post("http://"+args[0]+"/register", "application/json", bytes.NewBufferString(body))
	ts.Check(err)
	_ = resp.Body.Close()
}

// request ENTRY OUTCOME sends a request and checks its outcome.
func request(ts *testscript.TestScript, _ bool, args []string) {
	body := fmt.Sprintf(`{"key":%q,"account":"orders","kind":"reservation","idempotent":true,"timeout":"20s",`+
		`"body":{"run_ms":20,"answer_bytes":16}}`, driver.NewKey())
	resp, err := http.Post("http://"+args[0]+"/v1/requests", "application/json", bytes.NewBufferString(body))
	ts.Check(err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	ts.Check(err)
	var got struct {
		Outcome string `json:"outcome"`
	}
	ts.Check(json.Unmarshal(data, &got))
	if got.Outcome != args[1] {
		ts.Fatalf("outcome %q, want %q: %s", got.Outcome, args[1], data)
	}
}
