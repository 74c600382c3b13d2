package soaker

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"oleanderpulley/platform/imitator"
)

// oddTexts are texts that a message carries unchanged, as the last of its fields, and that
// readers which trim, split or decode them change. WORD stands for a word.
var oddTexts = []string{
	"WORD", "WORD\r", "WORD\r\r\r", "\rWORD\r", "WORD\nb", "\nWORD\n", "WORD\n\r", " WORD ", "WORD a  b", "\tWORD\t", "WORD\x00",
	"\u0085WORD\u0085", "\u00a0WORD\u00a0", "WORD\xff\xfe", "\xc3", "WORD\nQUERY WORDz WRITE item y", "-",
}

// settingNames may hold every byte but a blank and the end of a message.
var settingNames = []string{"v", "v\t", "v\u0085w"}

// isCarriedByOldBuilds reports whether builds up to f789805 carry the text unchanged, also
// between instances.
func isCarriedByOldBuilds(text string) bool {
	return utf8.ValidString(text) && !strings.Contains(text, "\n") && !strings.HasSuffix(text, "\r")
}

// texts returns those of the given texts that every build of the run carries.
func (s Soak) texts(all []string) []string {
	if s.OldProgram == "" {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(text string) bool { return !isCarriedByOldBuilds(text) })
}

// text returns an odd text with the word.
func (c *client) text(word string) string {
	all := c.environment.soak.texts(oddTexts)
	return strings.ReplaceAll(all[c.random.IntN(len(all))], "WORD", word)
}

// item returns an item that begins with "item". It has no blank, as fields of statements
// that could be followed by another one.
func (c *client) item() string {
	return "item" + strings.ReplaceAll(c.text("x"), " ", "_")
}

// setValue sets a session value.
func (c *client) setValue() error {
	name, value := settingNames[c.random.IntN(len(settingNames))], c.text("yl")
	r, err := c.query(c.newID(), "SET "+name+" "+value)
	if err != nil {
		return err
	}
	if r.code != "" {
		return errUnexpectedAnswer
	}
	c.settings = maps.Clone(c.settings) // Operations keep the previous map.
	c.settings[name] = value
	return nil
}

// drawRows returns a function that draws 0 to 3 odd rows for each read.
func (s Soak) drawRows() func(id, item string) []string {
	r, all := rand.New(rand.NewPCG(s.Seed, 4)), s.texts(oddTexts)
	return func(id, _ string) []string {
		rows := make([]string, r.IntN(4))
		for i := range rows {
			rows[i] = strings.ReplaceAll(all[r.IntN(len(all))], "WORD", id)
		}
		return rows
	}
}

// Repeated answers.
const (
	repeatEvery    = 4 // Of the answers of a server that repeats, one in so many is sent again.
	maxRepeatDelay = 150 * time.Millisecond
	maxRepeatLines = 3
)

// drawRepeats returns a function that draws which answers are repeated, when, and whether
// the repeats are cut off. With goesOn, each is cut off, and the server does not close the
// connection.
func (e *environment) drawRepeats(r *rand.Rand, goesOn bool) func(id, text string) (imitator.Repeat, bool) {
	unsignedOnly := r.IntN(3) == 0 // Nothing but their order names these answers.
	return func(_, text string) (imitator.Repeat, bool) {
		if r.IntN(repeatEvery) > 0 || (unsignedOnly && isSigned(comparableText(text))) {
			return imitator.Repeat{}, false
		}
		e.repeats.Add(1)
		repeat := imitator.Repeat{Cut: r.IntN(3) == 0, Lines: r.IntN(maxRepeatLines), HalfLine: r.IntN(2) == 0}
		if goesOn {
			repeat.Cut, repeat.KeepOpen = true, true
		}
		switch r.IntN(3) {
		case 0:
			repeat.Delay = time.Duration(1 + r.Int64N(int64(maxRepeatDelay)))
		case 1:
			repeat.BeforeNext = true
		}
		return repeat, true
	}
}
