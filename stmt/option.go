package stmt

import "strings"

// SplitOptions splits the options startup parameter at blanks and returns its words
// without the flags -c and --, normally in the form name=value. A backslash escapes
// the next character.
func SplitOptions(options string) []string {
	var words []string
	var word strings.Builder
	for i := 0; i < len(options); i++ {
		switch char := options[i]; {
		case char == '\\' && i+1 < len(options):
			i++
			word.WriteByte(options[i])
		case char == ' ' || char == '\t':
			words = appendWord(words, &word)
		default:
			word.WriteByte(char)
		}
	}
	words = appendWord(words, &word)
	var settings []string
	for i := 0; i < len(words); i++ {
		switch {
		case words[i] == "-c" && i+1 < len(words):
			i++
			settings = append(settings, words[i])
		case strings.HasPrefix(words[i], "--"):
			settings = append(settings, words[i][len("--"):])
		case strings.HasPrefix(words[i], "-c"):
			settings = append(settings, words[i][len("-c"):])
		default:
			settings = append(settings, words[i])
		}
	}
	return settings
}

// appendWord appends the word, unless it is empty, and resets it.
func appendWord(words []string, word *strings.Builder) []string {
	if word.Len() == 0 {
		return words
	}
	text := word.String()
	word.Reset()
	return append(words, text)
}
