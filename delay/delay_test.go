package delay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/delay"
)

func TestAccount(t *testing.T) {
	is := is.New(t)
	var first, second delay.Account
	cause, longest := first.Largest()
	is.Equal(cause, delay.None)
	is.Equal(longest, time.Duration(0))
	first.Add(delay.Room, 200*time.Millisecond)
	first.Add(delay.Work, -time.Second) // ran shorter than estimated
	second.Add(delay.Failed, 150*time.Millisecond)
	second.Add(delay.Failed, 100*time.Millisecond)
	first.Merge(&second)
	cause, longest = first.Largest()
	is.Equal(cause.String(), "failed")
	is.Equal(longest, 250*time.Millisecond)
	is.Equal(first.Of(delay.Room), 200*time.Millisecond)
	is.Equal(first.Of(delay.Work), time.Duration(0))
}
