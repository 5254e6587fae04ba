package settings

import "bytes"

// maxNesting bounds nested objects and arrays before the recursive parser runs.
// A tree of maxDepth nodes needs two levels a node and a few for its kinds.
const maxNesting = 64

// nestedTooDeep returns the line where the nesting exceeds maxNesting. It skips
// strings and comments.
func nestedTooDeep(src []byte) (line int, tooDeep bool) {
	depth := 0
	for i := 0; i < len(src); i++ {
		switch src[i] {
		case '"':
			for i++; i < len(src) && src[i] != '"'; i++ {
				if src[i] == '\\' {
					i++
				}
			}
		case '/':
			i = skipComment(src, i)
		case '{', '[':
			if depth++; depth > maxNesting {
				return 1 + bytes.Count(src[:i], []byte("\n")), true
			}
		case '}', ']':
			depth--
		}
	}
	return 0, false
}

// skipComment returns the offset of the last byte of the comment that starts at
// i, or i if there is none.
func skipComment(src []byte, i int) int {
	if i+1 >= len(src) {
		return i
	}
	end := ""
	switch src[i+1] {
	case '/':
		end = "\n"
	case '*':
		end = "*/"
	default:
		return i
	}
	n := bytes.Index(src[i+2:], []byte(end))
	if n < 0 {
		return len(src)
	}
	return i + 1 + n + len(end)
}
