package configstore_test

import (
	"testing"

	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestConfigStore(t *testing.T) { testkit.Run(t, "configuration store") }
