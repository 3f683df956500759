package stmt_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/stmt"
)

func TestClassify(t *testing.T) {
	tests := []struct {
		text      string
		want      stmt.Kind
		mayCommit bool
	}{
		{"SELECT 1", stmt.Read, false},
		{"  /* hint */ -- note\n (select 1)", stmt.Read, false},
		{"with x as (delete from t returning *) select * from x", stmt.Read, false},
		{"SELECT 1;", stmt.Read, false},
		{"SELECT 1; DELETE FROM t", stmt.Write, false},
		{"SELECT ';'", stmt.Write, false},
		{"INSERT INTO t (key, value) VALUES (1, 2) ON CONFLICT (key) DO UPDATE SET value = 3", stmt.Write, false},
		{"UPDATE t SET a = CASE WHEN b THEN 1 ELSE 2 END", stmt.Write, false},
		{"UPDATE t SET a = 1; COMMIT", stmt.Write, true},
		{"begin read write", stmt.Begin, false},
		{"START TRANSACTION ISOLATION LEVEL SERIALIZABLE, READ ONLY", stmt.BeginReadOnly, false},
		{"commit", stmt.Commit, true},
		{"END", stmt.Commit, true},
		{"PREPARE TRANSACTION 'x'", stmt.Unsupported, true},
		{"ROLLBACK", stmt.Rollback, false},
		{"ROLLBACK TO SAVEPOINT a", stmt.Write, false},
		{"LISTEN x", stmt.Unsupported, false},
		{"SET work_mem = 1", stmt.Set, false},
		{"", stmt.Write, false},
		{"/* never closed", stmt.Write, false},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			qt.Assert(t, stmt.Classify(test.text), qt.Equals, test.want)
			qt.Assert(t, stmt.MayCommit(test.text), qt.Equals, test.mayCommit)
		})
	}
}

func TestParseSettingCommand(t *testing.T) {
	tests := []struct {
		text string
		want *stmt.SettingCommand
	}{
		{"SET bramley.staleness = '60s'", &stmt.SettingCommand{Verb: "SET", Name: "bramley.staleness", Value: "60s"}},
		{"set local bramley.requestKey to 'it''s';", &stmt.SettingCommand{Verb: "SET", Name: "bramley.requestkey", Value: "it's", IsLocal: true}},
		{"SHOW bramley.outcome", &stmt.SettingCommand{Verb: "SHOW", Name: "bramley.outcome"}},
		{"RESET bramley.staleness", &stmt.SettingCommand{Verb: "RESET", Name: "bramley.staleness"}},
		{"SET work_mem = '1MB'", nil},
		{"SELECT 'SET bramley.staleness = 1'", nil},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			got, ok := stmt.ParseSettingCommand(test.text)
			qt.Assert(t, ok, qt.Equals, test.want != nil)
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

func TestSplitOptions(t *testing.T) {
	tests := []struct {
		text string
		want []string
	}{
		{"", nil},
		{"-c a=1 -cb=2 --c=3", []string{"a=1", "b=2", "c=3"}},
		{`-c a=one\ two\\three`, []string{`a=one two\three`}},
		{"stray -c", []string{"stray", ""}},
	}
	for _, test := range tests {
		qt.Check(t, stmt.SplitOptions(test.text), qt.DeepEquals, test.want, qt.Commentf("%q", test.text))
	}
}

func FuzzSplitOptions(f *testing.F) {
	f.Add(`-c a=1 --b=2 \`)
	f.Fuzz(func(t *testing.T, text string) {
		size := 0
		for _, option := range stmt.SplitOptions(text) {
			size += len(option)
		}
		if size > len(text) {
			t.Fatalf("result of SplitOptions(%q) is longer than its input", text)
		}
	})
}

func FuzzClassify(f *testing.F) {
	f.Add("/* x */ SELECT 1; COMMIT")
	f.Fuzz(func(t *testing.T, text string) {
		isCommit := stmt.Classify(text) == stmt.Commit
		if isCommit && !stmt.MayCommit(text) {
			t.Fatalf("%q: Classify returned Commit, but MayCommit returned false", text)
		}
		stmt.ParseSettingCommand(text)
	})
}
