# The fleet that this dispatcher takes part in: ospreypond serve --fleet deploy/fleet.star
#
# One file serves all dispatchers of a fleet. `number` is this dispatcher's slotNo and `dispatcher` its name, both from the
# configuration of the platform. Durations are written with their unit: ms, s, minute, hour.

# The address of each dispatcher's UDP socket, in the order of their numbers; as many as settings.balancers.
roster = ["127.0.0.1:7946", "127.0.0.1:7947", "127.0.0.1:7948"]

fleet(
    name = "example",
    key = "replace this by 16 or more secret bytes",
    listen = roster[number],
    roster = roster,
    # How often each dispatcher probes another; a dead one is known after some of these.
    interval = 500 * ms,
    # A refused datagram proves that a dispatcher is dead, and its parts of budgets pass to the others. Only where no
    # firewall answers for machines behind it.
    refusals = True,
)
