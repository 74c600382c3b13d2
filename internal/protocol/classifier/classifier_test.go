package classifier_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/classifier"
)

// Guards against a write that is classified as a read, which would run on a
// replica or without a check of the write right, and against session state that
// remains on a connection used by other sessions.
func TestClassify(t *testing.T) {
	read, write := classifier.Summary{Class: classifier.Read, Count: 1}, classifier.Summary{Class: classifier.Write, Count: 1}
	state := classifier.Summary{Class: classifier.Write, Count: 1, CreatesSessionState: true}
	for sql, want := range map[string]classifier.Summary{
		"":                       {},
		" ; -- nothing":          {},
		"SELECT 1":               read,
		"select 'insert into x'": read,
		"SELECT count(*), max(v) FROM t WHERE id IN (1, 2)":     read,
		"/* a /* nested */ b */ SELECT $$delete from$$":         read,
		"SELECT \"update\" FROM t":                              read,
		"SELECT E'it\\'s; drop' FROM t":                         read,
		"(SELECT 1) UNION (SELECT 2)":                           read,
		"WITH x AS (SELECT 1) SELECT * FROM x":                  read,
		"EXPLAIN SELECT 1":                                      read,
		"COPY t TO STDOUT":                                      read,
		"SHOW search_path":                                      read,
		"SET LOCAL search_path = x":                             read,
		"SELECT * FROM t FOR UPDATE":                            write,
		"SELECT * FROM t FOR NO KEY UPDATE":                     write,
		"SELECT * INTO x FROM t":                                write,
		"SELECT charge(1)":                                      write,
		"SELECT \"lower\"(1)":                                   write,
		"SELECT shop.lower('x')":                                write,
		"SELECT nextval('s')":                                   write,
		"WITH x AS (DELETE FROM t RETURNING *) SELECT * FROM x": write,
		"EXPLAIN ANALYZE INSERT INTO t VALUES (1)":              write,
		"COPY t FROM STDIN":                                     write,
		"COPY t TO PROGRAM 'cat'":                               write,
		"SELECT E'a'\n'b\\'', charge(1), ''":                    write, // The escapes apply to the continuation, too.
		"SELECT E'a' -- b\r\n 'c\\'', charge(1), ''":            write,
		"SELECT E'a' 'b\\'', charge(1), ''":                     read, // Not a continuation.
		"TRUNCATE t":                                            write,
		"DO $$ BEGIN DELETE FROM t; END $$":                     write,
		"CALL p()":                                              write,
		"SELECT pg_advisory_lock(1)":                            state,
		"SELECT set_config('a', 'b', false)":                    state,
		`SELECT "set_config"('a', 'b', false)`:                  state,
		`SELECT "pg_catalog".pg_advisory_lock(1)`:               state,
		`INSERT INTO t VALUES ("pg_try_advisory_lock"(1))`:      state,
		"ROLLBACK PREPARED 'x'":                                 write,
		"COMMIT PREPARED 'x'":                                   write,
		"LISTEN c":                                              state,
		"CREATE TEMP TABLE x (v int)":                           state,
		"PREPARE p AS SELECT 1":                                 state,
		"SET search_path = x":                                   {Class: classifier.Read, Count: 1, CreatesSessionState: true},
		"DECLARE c CURSOR WITH HOLD FOR SELECT 1":               {Class: classifier.Read, Count: 1, CreatesSessionState: true},
		"BEGIN": {Class: classifier.Read, Count: 1, Begin: true},
		"START TRANSACTION ISOLATION LEVEL REPEATABLE READ, READ ONLY": {Class: classifier.Read, Count: 1, Begin: true, ReadOnly: true},
		"BEGIN READ ONLY; INSERT INTO t VALUES (1)":                    {Class: classifier.Write, Count: 2, Begin: true},
		"COMMIT":                        {Class: classifier.Read, Count: 1, End: true},
		"COMMIT AND CHAIN":              {Class: classifier.Read, Count: 1, End: true, Chain: true},
		"ROLLBACK WORK AND NO CHAIN":    {Class: classifier.Read, Count: 1, End: true, Rollback: true},
		"ROLLBACK":                      {Class: classifier.Read, Count: 1, End: true, Rollback: true},
		"ROLLBACK TO SAVEPOINT a":       {Class: classifier.Read, Count: 1, Savepoint: true},
		"SELECT 1; UPDATE t SET v = 1;": {Class: classifier.Write, Count: 2},
		"CREATE FUNCTION f() RETURNS int BEGIN ATOMIC SELECT CASE WHEN true THEN 1 END; SELECT 2; END": write,
		"CREATE PROCEDURE p() BEGIN ATOMIC INSERT INTO t VALUES (1); END; SELECT 1":                    {Class: classifier.Write, Count: 2},
		"SET oleanderpulley.route = 'x'; SELECT 1":                                                     {Class: classifier.Read, Count: 2, Mixed: true},
		"SELECT 1; SET SESSION \"oleanderpulley\".workspace = 'x'":                                     {Class: classifier.Read, Count: 2, Mixed: true},
		"SELECT 1; SET oleanderpulley.route = 'x'":                                                     {Class: classifier.Read, Count: 2, Mixed: true},
	} {
		t.Run(sql, func(t *testing.T) {
			got := classifier.Classify([]byte(sql))
			got.Tags, got.Uncertain = 0, false // See TestTags.
			qt.Assert(t, got, qt.DeepEquals, want)
		})
	}
}

// Guards against a response that is refused although it belongs to the statement,
// and against one of another kind of statement that is accepted.
func TestTags(t *testing.T) {
	for sql, tags := range map[string][2]string{
		"SELECT 1":                        {"SELECT 1", "INSERT 0 1"},
		"(values (1))":                    {"SELECT 1", "SET"},
		"table t":                         {"SELECT 1", "CREATE TABLE"},
		"with x as (select 1) delete":     {"DELETE 1", "BEGIN"},
		"insert into t":                   {"INSERT 0 1", "UPDATE 1"},
		"CREATE TABLE x AS SELECT 1":      {"SELECT 1", "INSERT 0 1"},
		"CREATE TABLE x (v int)":          {"CREATE TABLE", "DROP TABLE"},
		"START TRANSACTION":               {"START TRANSACTION", "COMMIT"},
		"END":                             {"COMMIT", "SELECT 1"},
		"COMMIT":                          {"ROLLBACK", "BEGIN"},
		"PREPARE TRANSACTION 'x'":         {"PREPARE TRANSACTION", "COMMIT PREPARED"},
		"ABORT":                           {"ROLLBACK", "COMMIT"},
		"EXECUTE p":                       {"DELETE 1", ""},
		"VACUUM t":                        {"VACUUM", "SELECT 1"},
		"refresh materialized view v":     {"REFRESH MATERIALIZED VIEW", "UPDATE 1"},
		"SELECT 1; DELETE FROM t":         {"DELETE 1", "UPDATE 1"},
		"averylongstatementkeyword x y z": {"OTHER", "SELECT 1"},
	} {
		s := classifier.Classify([]byte(sql))
		qt.Check(t, s.Tags.Contain([]byte(tags[0])), qt.IsTrue, qt.Commentf("%s", sql))
		qt.Check(t, tags[1] != "" && s.Tags.Contain([]byte(tags[1])), qt.IsFalse, qt.Commentf("%s", sql))
		qt.Check(t, s.Uncertain, qt.IsFalse, qt.Commentf("%s", sql))
	}
	for _, sql := range []string{`SELECT '\'; SELECT 1`, "CREATE PROCEDURE p() BEGIN ATOMIC SELECT 1; END"} {
		qt.Check(t, classifier.Classify([]byte(sql)).Uncertain, qt.IsTrue, qt.Commentf("%s", sql))
	}
}

// Guards against statements for the proxy, such as SET of a proxy setting, that are
// sent to a backend server.
func TestOwnStatements(t *testing.T) {
	for sql, want := range map[string]classifier.ProxyStatement{
		"SET oleanderpulley.max_age = '2s';":     {Verb: classifier.Set, Name: "max_age", Value: "2s", Tag: "SET"},
		"set oleanderpulley.Route TO catalogue":  {Verb: classifier.Set, Name: "route", Value: "catalogue", Tag: "SET"},
		"SET oleanderpulley.route = DEFAULT":     {Verb: classifier.Set, Name: "route", Tag: "SET"},
		"SET LOCAL oleanderpulley.route = 'x'":   {Verb: classifier.Set, Name: "local route", Value: "x", Tag: "SET"},
		"SET SESSION oleanderpulley.route = 'x'": {Verb: classifier.Set, Name: "route", Value: "x", Tag: "SET"},
		"RESET oleanderpulley.route":             {Verb: classifier.Set, Name: "route", Tag: "RESET"},
		"SHOW oleanderpulley.position":           {Verb: classifier.Show, Name: "position", Tag: "SHOW"},
		"DEALLOCATE PREPARE \"a b\"":             {Verb: classifier.Deallocate, Name: "a b", Tag: "DEALLOCATE"},
		"DISCARD ALL":                            {Verb: classifier.Deallocate, Tag: "DISCARD ALL"},
	} {
		t.Run(sql, func(t *testing.T) {
			qt.Assert(t, classifier.Classify([]byte(sql)).ProxyStatement, qt.DeepEquals, &want)
		})
	}
}

// Guards against hints that are ignored, and against comments inside a statement
// that are interpreted as hints.
func TestHints(t *testing.T) {
	s := classifier.Classify([]byte("/* oleanderpulley: route=catalogue, max_age=2s */ SELECT 1"))
	name, value, rest := classifier.NextHint(s.Hints)
	qt.Assert(t, name+" "+value, qt.Equals, "route catalogue")
	name, value, rest = classifier.NextHint(rest)
	qt.Assert(t, name+" "+value, qt.Equals, "max_age 2s")
	qt.Assert(t, rest, qt.HasLen, 0)
	qt.Assert(t, classifier.Classify([]byte("SELECT /* oleanderpulley: route=x */ 1")).Hints, qt.IsNil)
}

// Guards against a text that makes the lexer panic or loop forever.
func FuzzClassify(f *testing.F) {
	for _, sql := range []string{"SELECT 1", "/* oleanderpulley: a=b */ SET oleanderpulley.x", "E'\\", "$a$", "U&'", "\"", "/*/*", "--", "((", "COPY ("} {
		f.Add(sql)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		s := classifier.Classify([]byte(sql))
		if s.Class == classifier.Empty && s.Count > 0 {
			t.Fatalf("%d statements without a class", s.Count)
		}
		for hints := s.Hints; len(hints) > 0; {
			_, _, hints = classifier.NextHint(hints)
		}
	})
}
