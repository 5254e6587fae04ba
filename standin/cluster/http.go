package cluster

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

var controlClient = &http.Client{Timeout: controlTimeout}

func post(url string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return err
	}
	return do(req)
}

func do(req *http.Request) error {
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
