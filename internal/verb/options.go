package verb

import (
	"net/netip"

	"github.com/chestnutroad/chestnutroad/internal/cli"
	"github.com/chestnutroad/chestnutroad/internal/host"
	"github.com/chestnutroad/chestnutroad/internal/platform"
	"github.com/chestnutroad/chestnutroad/internal/publish"
)

// Options returns the command line options that set the functions of the verbs.
func Options() []cli.Option {
	return []cli.Option{
		cli.WithServe(serve),
		cli.WithDemo(runDemo),
		cli.WithLoad(runLoad),
		cli.WithPublisher(connectPublisher),
	}
}

func connectPublisher(address netip.AddrPort) (cli.Publisher, error) {
	return publish.New(platform.NewLog(address.String()), host.CheckBody), nil
}
