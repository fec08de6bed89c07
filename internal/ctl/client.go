package ctl

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/admin"
	"coltsfootmux/internal/process"
)

const (
	flagServer    = "server"
	flagToken     = "token"
	flagTokenFile = "token-file"
	flagOutput    = "output"
	flagTimeout   = "timeout"
)

const defaultTimeout = 30 * time.Second

// Client calls the administration API.
type Client struct {
	base *sling.Sling
}

func connectionFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagServer, Sources: process.Env(flagServer), Usage: "URL of the administration API, such as https://10.0.0.1:7400"},
		&cli.StringFlag{Name: flagToken, Sources: process.Env(flagToken), Usage: "bearer token"},
		&cli.StringFlag{Name: flagTokenFile, Sources: process.Env(flagTokenFile), Usage: "file that holds the bearer token"},
		&cli.DurationFlag{Name: flagTimeout, Sources: process.Env(flagTimeout), Value: defaultTimeout, Usage: "maximum duration of one call"},
	}
}

// newClient returns a client made from the flags. An error is a
// *process.SettingError.
func newClient(cmd *cli.Command) (*Client, error) {
	server := cmd.String(flagServer)
	u, err := url.Parse(server)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, &process.SettingError{Flag: flagServer, Value: server, Allowed: "a URL such as https://10.0.0.1:7400"}
	}
	timeout := cmd.Duration(flagTimeout)
	if timeout <= 0 {
		return nil, &process.SettingError{Flag: flagTimeout, Value: timeout, Allowed: "a duration above 0"}
	}
	token, err := readToken(cmd)
	if err != nil {
		return nil, err
	}
	base := sling.New().Client(&http.Client{Timeout: timeout}).Base(strings.TrimSuffix(server, "/") + "/")
	if token != "" {
		base = base.Set("Authorization", "Bearer "+token)
	}
	return &Client{base: base}, nil
}

// readToken returns the bearer token given by flag or by file, without
// surrounding white space if it comes from a file; empty if neither is set.
func readToken(cmd *cli.Command) (string, error) {
	token, file := cmd.String(flagToken), cmd.String(flagTokenFile)
	switch {
	case file == "":
		return token, nil
	case token != "":
		return "", &process.SettingError{Flag: flagTokenFile, Value: file, Allowed: "only one of --token and --token-file"}
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return "", &process.SettingError{Flag: flagTokenFile, Value: file, Allowed: "a readable file"}
	}
	return strings.TrimSpace(string(b)), nil
}

// get sends a GET request and returns the decoded response body.
func get[T any](ctx context.Context, c *Client, path string, query url.Values) (*T, error) {
	return call[T](ctx, c.base.New().Get(path+"?"+query.Encode()))
}

// post sends a POST request with a JSON body and returns the decoded response
// body.
func post[T any](ctx context.Context, c *Client, path string, body any) (*T, error) {
	return call[T](ctx, c.base.New().Post(path).BodyJSON(body))
}

// call sends the request and returns the decoded response body. An error is a
// *Failure with the exit status that fits.
func call[T any](ctx context.Context, s *sling.Sling) (*T, error) {
	req, err := s.Request()
	if err != nil {
		return nil, usageError(err.Error())
	}
	var out T
	var problem admin.InvalidDocumentProblem
	res, err := s.Do(req.WithContext(ctx), &out, &problem)
	if err != nil && (res == nil || res.StatusCode < http.StatusBadRequest) {
		err = eris.Wrap(ErrUnreachable, err.Error())
		return nil, &Failure{Status: exitUnavailable, Text: err.Error()}
	}
	if res.StatusCode >= http.StatusBadRequest {
		return nil, &Failure{Status: exitStatusFor(res.StatusCode), Text: problemText(res.StatusCode, &problem)}
	}
	return &out, nil
}

// problemText returns the text for an error response: the errors in a document,
// one per line, or else the problem's code and detail.
func problemText(status int, p *admin.InvalidDocumentProblem) string {
	if len(p.Problems) > 0 {
		lines := []string{"the configuration is invalid:"}
		for _, f := range p.Problems {
			lines = append(lines, f.Error())
		}
		return strings.Join(lines, "\n")
	}
	if p.Code == "" {
		return fmt.Sprintf("the server responded with HTTP status %d", status)
	}
	return p.Code + ": " + p.Detail
}
