package stmt

import "strings"

// SplitOptions returns the name=value of each -c and --; a backslash takes the
// next character as it is.
func SplitOptions(options string) []string {
	var words []string
	var word strings.Builder
	for i := 0; i < len(options); i++ {
		switch c := options[i]; {
		case c == '\\' && i+1 < len(options):
			i++
			word.WriteByte(options[i])
		case c == ' ' || c == '\t':
			words = appendWord(words, &word)
		default:
			word.WriteByte(c)
		}
	}
	words = appendWord(words, &word)
	var found []string
	for i := 0; i < len(words); i++ {
		switch {
		case words[i] == "-c" && i+1 < len(words):
			i++
			found = append(found, words[i])
		case strings.HasPrefix(words[i], "--"):
			found = append(found, words[i][len("--"):])
		case strings.HasPrefix(words[i], "-c"):
			found = append(found, words[i][len("-c"):])
		default:
			found = append(found, words[i])
		}
	}
	return found
}

func appendWord(words []string, word *strings.Builder) []string {
	if word.Len() == 0 {
		return words
	}
	text := word.String()
	word.Reset()
	return append(words, text)
}
