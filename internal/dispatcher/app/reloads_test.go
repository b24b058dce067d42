package app

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Accepted and refused files are counted separately, and the text has the error of the last refused one.
func TestReloadsAreCounted(t *testing.T) {
	r := &reloads{}
	assert.Equal(t, "0 taken, 0 refused", r.String())
	assert.Equal(t, 1, r.accept())
	assert.Equal(t, 1, r.refuse(errors.New("settings.periodUs: is not over 0")))
	assert.Equal(t, 2, r.refuse(errors.New("unexpected end of JSON input")))
	assert.Equal(t, "1 taken, 2 refused, the last for: unexpected end of JSON input", r.String())
}
