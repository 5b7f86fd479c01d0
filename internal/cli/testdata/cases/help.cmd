chestnutroad
chestnutroad help config check
chestnutroad timeline --help
chestnutroad help nothing
