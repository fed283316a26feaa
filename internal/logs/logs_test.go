package logs

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestRepeatedLinesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		log, err := New(Config{Output: &out, Format: FormatJSON, Level: "info"})
		is.NoErr(err)
		for i := range 100 {
			log.WithField("peer", i).Warn("part: no answer")
		}
		log.Warn("part: another message")
		log.Debug("part: too low a level")
		is.Equal(strings.Count(out.String(), "\n"), DefaultBurst+1)
		time.Sleep(DefaultRepeatEvery)
		out.Reset()
		log.WithField("peer", 7).Warn("part: no answer")
		line := out.String()
		is.True(strings.Contains(line, `"repeated":95`))
		is.True(strings.Contains(line, `"peer":7`))
		is.True(strings.Contains(line, `"msg":"part: no answer"`))
	})
}

func TestTextFormat(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, err := New(Config{Output: &out, Format: FormatText, Level: "debug"})
	is.NoErr(err)
	log.WithField("data-centre", "a").Debug("part: said")
	is.True(strings.Contains(out.String(), `level=debug msg="part: said" data-centre=a`))
	_, err = New(Config{Output: &out, Level: "loud"})
	is.True(err != nil)
}
