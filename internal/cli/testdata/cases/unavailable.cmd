chestnutroad serve --host testdata/input/host.toml
chestnutroad demo
chestnutroad load 127.0.0.1:1
chestnutroad config publish --log 127.0.0.1:1 testdata/input/base.toml
chestnutroad config history --log 127.0.0.1:1
