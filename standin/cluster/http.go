package cluster

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

var controlClient = &http.Client{Timeout: controlTimeout}

// postJSON sends body as JSON to a control URL of a stand-in.
func postJSON(url string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return err
	}
	return sendControl(req)
}

// sendControl sends a control call and returns an error unless the status is 2xx.
func sendControl(req *http.Request) error {
	resp, err := controlClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
		return fmt.Errorf("%s %s: %s: %s", req.Method, req.URL, resp.Status, text)
	}
	return nil
}
