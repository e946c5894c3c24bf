package settings_test

import (
	"testing"

	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestSettings(t *testing.T) { testkit.Run(t, "settings") }
