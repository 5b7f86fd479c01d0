chestnutroad config history --log 127.0.0.1:1
chestnutroad config history --json --log 127.0.0.1:1
chestnutroad config history --log 127.0.0.1:3
