package settings

import "bytes"

// maxNestingLevels bounds the nesting of objects and arrays, since the parser is
// recursive. A tree of maxTreeLevels levels needs two levels of nesting for each
// node and a few for its kinds.
const maxNestingLevels = 64

// nestedTooDeep returns the line where the nesting exceeds maxNestingLevels. It
// ignores brackets in strings and comments.
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
			if depth++; depth > maxNestingLevels {
				return 1 + bytes.Count(src[:i], []byte("\n")), true
			}
		case '}', ']':
			depth--
		}
	}
	return 0, false
}

// skipComment returns the offset of the last byte of the comment that starts at
// offset i, or i if no comment starts there.
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
