package stmt

import (
	"regexp"
	"strings"
)

// SettingCommand is a SET, SHOW or RESET statement for one of the proxy's own settings.
type SettingCommand struct {
	Verb string // SET, SHOW or RESET
	// Name is the setting's name in lower case.
	Name string
	// Value is the unquoted value of a SET.
	Value string
	// IsLocal is set for SET LOCAL.
	IsLocal bool
}

var (
	setPattern         = regexp.MustCompile(`(?is)^SET\s+(?:(SESSION|LOCAL)\s+)?(bramley\.\w+)\s*(?:=|\s+TO\s+)\s*('(?:[^']|'')*'|[\w.+-]+)\s*;?\s*$`)
	showOrResetPattern = regexp.MustCompile(`(?is)^(SHOW|RESET)\s+(bramley\.\w+)\s*;?\s*$`)
)

// ParseSettingCommand parses a statement. It returns false if the statement is not a
// command for one of the proxy's own settings.
func ParseSettingCommand(text string) (*SettingCommand, bool) {
	text = SkipBlanks(text)
	if match := setPattern.FindStringSubmatch(text); match != nil {
		value := match[3]
		if strings.HasPrefix(value, "'") {
			value = strings.ReplaceAll(value[1:len(value)-1], "''", "'")
		}
		isLocal := strings.EqualFold(match[1], "LOCAL")
		return &SettingCommand{Verb: "SET", Name: strings.ToLower(match[2]), Value: value, IsLocal: isLocal}, true
	}
	if match := showOrResetPattern.FindStringSubmatch(text); match != nil {
		return &SettingCommand{Verb: strings.ToUpper(match[1]), Name: strings.ToLower(match[2])}, true
	}
	return nil, false
}
