package entry

import (
	"context"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/bramleydoor/bramleydoor/stmt"

	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/fault"
)

// Names of the proxy's own settings, in lower case since PostgreSQL folds names.
const (
	settingPrefix     = "bramley."
	settingSession    = "bramley.session"
	settingStaleness  = "bramley.staleness"
	settingRequestKey = "bramley.requestkey"
	settingOutcome    = "bramley.outcome"
)

// sessionParameter is the ParameterStatus name under which a session token is sent.
const sessionParameter = "bramley.session"

// Limits of the settings; the error messages state them.
const (
	maxStaleness        = 24 * time.Hour
	maxKeyBytes         = 200
	maxUpstreamSettings = 16
)

// settings are the proxy settings of a session. A copy without SET LOCAL is kept in
// session.sessionSettings and restored at the end of a transaction.
type settings struct {
	staleness time.Duration
	key       string
	// isKeyPending is set if key applies to the next transaction that writes.
	isKeyPending bool
}

var readOnlyPattern = regexp.MustCompile(`(?is)^SET\s+(?:SESSION\s+)?(?:CHARACTERISTICS\s+AS\s+TRANSACTION\s+READ\s+ONLY|default_transaction_read_only\s*(?:=|TO)\s*'?(?:on|true|1)'?)\s*;?\s*$`)

// invalidSetting returns an error for an invalid use of a setting.
func invalidSetting(message string) error {
	return fault.Refuse(fault.CodeInvalidSetting, fault.ReasonBadMessage, message)
}

// changeSetting changes one setting. An empty value resets it.
func (session *session) changeSetting(name, value string, isLocal bool) error {
	if isLocal && session.status != 'T' {
		// As in PostgreSQL, SET LOCAL outside of a transaction has no effect.
		return nil
	}
	target := &session.settings
	switch name {
	case settingStaleness:
		staleness, err := time.ParseDuration(value)
		if value == "" || strings.EqualFold(value, "default") {
			staleness, err = 0, nil
		}
		if err != nil || staleness < 0 || staleness > maxStaleness {
			return invalidSetting("bramley.staleness must be a duration such as '60s', at most 24h")
		}
		target.staleness = staleness
	case settingRequestKey:
		if len(value) > maxKeyBytes || strings.ContainsRune(value, 0) {
			return invalidSetting("bramley.requestKey must have at most 200 bytes and no zero byte")
		}
		target.key = value
		target.isKeyPending = value != ""
	case settingSession:
		session.applyToken(value)
	default:
		return invalidSetting("unknown setting " + name)
	}
	if !isLocal {
		session.sessionSettings = session.settings
	}
	return nil
}

// applyToken raises the session's minimum position to a token's position. An invalid
// token is ignored: the minimum position is then confirmed by a majority of slots
// (rule 2).
func (session *session) applyToken(token string) {
	position, err := session.server.Signer.Verify(session.database, token)
	if err != nil {
		session.server.Stats.TokensIgnored.Add(1)
		session.server.Events.Write(event.TokenIgnored, event.Fields{"error": err.Error(), "database": session.database})
		return
	}
	session.raiseMinPosition(position)
	session.hasMinPosition = true
}

// runCommand runs a command and returns the value for SHOW.
func (session *session) runCommand(ctx context.Context, command *stmt.SettingCommand) (string, error) {
	switch command.Verb {
	case "SET":
		return "", session.changeSetting(command.Name, command.Value, command.IsLocal)
	case "RESET":
		return "", session.changeSetting(command.Name, "", false)
	}
	switch command.Name {
	case settingStaleness:
		return session.settings.staleness.String(), nil
	case settingRequestKey:
		return session.settings.key, nil
	case settingSession:
		return session.server.Signer.Sign(session.database, session.minPosition), nil
	case settingOutcome:
		return session.keyOutcome(ctx, session.settings.key)
	}
	return "", invalidSetting("unknown setting " + command.Name)
}

// upstreamSetting is a SET statement that is repeated on each connection to the
// database.
type upstreamSetting struct{ name, text string }

var settingNamePattern = regexp.MustCompile(`(?is)^(?:SET|RESET)\s+(?:SESSION\s+)?("[^"]+"|[\w.]+)`)

// parseSettingName returns the name of the setting in a SET or RESET statement, or
// "" if there is none.
func parseSettingName(text string) string {
	match := settingNamePattern.FindStringSubmatch(stmt.SkipBlanks(text))
	if match == nil {
		return ""
	}
	return strings.ToLower(strings.Trim(match[1], `"`))
}

// addUpstreamSetting records a SET statement for the session's later connections. It
// replaces an earlier one of the same name.
func (session *session) addUpstreamSetting(text string) error {
	name := parseSettingName(text)
	session.dropUpstreamSetting(name)
	if len(session.upstreamSettings) >= maxUpstreamSettings {
		return fault.Refuse(fault.CodeUnsupported, fault.ReasonTooLarge, "too many session settings: at most 16 are allowed")
	}
	if readOnlyPattern.MatchString(stmt.SkipBlanks(text)) {
		session.isReadOnly = true
	}
	text = strings.TrimRight(strings.TrimSpace(text), ";")
	session.upstreamSettings = append(session.upstreamSettings, upstreamSetting{name: name, text: text})
	return nil
}

func (session *session) dropUpstreamSetting(name string) {
	session.upstreamSettings = slices.DeleteFunc(session.upstreamSettings, func(setting upstreamSetting) bool {
		return setting.name == name
	})
	if name == "default_transaction_read_only" || name == "characteristics" {
		session.isReadOnly = false
	}
}

// saveSettings keeps the settings before a transaction.
func (session *session) saveSettings() {
	session.savedSettings, session.savedReadOnly = slices.Clone(session.upstreamSettings), session.isReadOnly
}

// restoreSettings undoes the changes of settings in a transaction that was rolled back.
func (session *session) restoreSettings() {
	if slices.Equal(session.upstreamSettings, session.savedSettings) {
		return
	}
	session.upstreamSettings, session.isReadOnly = session.savedSettings, session.savedReadOnly
	session.settingsDropped++
}

// resetSettings applies RESET or DISCARD to the session's recorded state and returns
// the command tag.
func (session *session) resetSettings(request *request) string {
	session.settingsDropped++
	name := parseSettingName(request.text)
	if request.kind == stmt.Reset && name != "all" {
		session.dropUpstreamSetting(name)
		return "RESET"
	}
	session.upstreamSettings, session.isReadOnly = nil, false
	session.settings, session.sessionSettings = settings{}, settings{}
	if request.kind == stmt.Reset {
		return "RESET"
	}
	session.statements = make(map[string]*statement)
	return "DISCARD ALL"
}

// settingsQuery returns the query that repeats the session's settings on a connection to
// the database.
func (session *session) settingsQuery() string {
	var query strings.Builder
	for _, setting := range session.upstreamSettings {
		query.WriteString(setting.text)
		// The text may end in a comment.
		query.WriteString("\n;")
	}
	return query.String()
}
