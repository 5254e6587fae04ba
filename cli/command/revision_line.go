package command

import (
	"bytes"
	"fmt"
	"strconv"
)

// revisionPrefix starts the comment line that `settings get` prepends to the
// document. `settings apply` takes the expected revision from it.
const revisionPrefix = "// rhubarbstall settings revision "

func withRevisionLine(document string, revision int64) string {
	return fmt.Sprintf("%s%d\n%s", revisionPrefix, revision, document)
}

// cutRevisionLine removes the comment line; ok is false if there is none.
func cutRevisionLine(document []byte) (rest []byte, revision int64, ok bool) {
	line, rest, _ := bytes.Cut(document, []byte("\n"))
	number, found := bytes.CutPrefix(bytes.TrimSpace(line), []byte(revisionPrefix))
	if !found {
		return document, 0, false
	}
	revision, err := strconv.ParseInt(string(number), 10, 64)
	if err != nil || revision < 0 {
		return document, 0, false
	}
	return rest, revision, true
}
