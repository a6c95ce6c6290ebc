package document

import (
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// Bounds of scalars.
const (
	MaxName     = 63 // letters
	MaxText     = 4096
	MaxDuration = 30 * 24 * time.Hour
)

// Name parses an identifier of lower-case letters, digits and inner hyphens.
func Name(text string) (string, error) {
	if text == "" || len(text) > MaxName {
		return "", fmt.Errorf("name of %d characters, want 1 to %d", len(text), MaxName)
	}
	for i, c := range []byte(text) {
		inner := i > 0 && i < len(text)-1
		if !isNameByte(c) && (c != '-' || !inner) {
			return "", fmt.Errorf("name %q, want a-z, 0-9 and hyphens between them", text)
		}
	}
	return text, nil
}

// Text parses printable text of at most MaxText bytes. Newlines and tabs are allowed.
func Text(text string) (string, error) {
	if len(text) > MaxText {
		return "", fmt.Errorf("text of %d bytes, limit %d", len(text), MaxText)
	}
	if strings.ContainsFunc(text, isControl) {
		return "", fmt.Errorf("control character in text %q", text)
	}
	return text, nil
}

// Duration parses a duration above zero, such as 250ms.
func Duration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("duration %q, want a number with its unit, such as 250ms, 3s or 2h", text)
	}
	if d <= 0 || d > MaxDuration {
		return 0, fmt.Errorf("duration %s, want more than 0 and at most %s", text, MaxDuration)
	}
	return d, nil
}

// Bool parses true or false.
func Bool(text string) (bool, error) {
	switch text {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, fmt.Errorf("%q, want true or false", text)
}

// Count returns a parser of whole numbers from low to high.
func Count(low, high int) func(text string) (int, error) {
	return func(text string) (int, error) {
		n, err := strconv.Atoi(text)
		if err != nil {
			return 0, fmt.Errorf("%q, want a whole number", text)
		}
		if n < low || n > high {
			return 0, fmt.Errorf("%d, want %d to %d", n, low, high)
		}
		return n, nil
	}
}

func isControl(c rune) bool {
	return !unicode.IsPrint(c) && c != '\n' && c != '\t'
}

func isNameByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
}
