"""Steps about many new connections at one daemon."""

import random

import behave
import eventlet

from standins.soak import crowd as crowds


@behave.given(
    "from {first:d} s to {last:d} s {rate:d} new connections a second, nine "
    "in ten of them at one daemon with room for {room:d}"
)
def step_crowd(context, first, last, rate, room):
    soak = context.soak
    fleet = soak.installation.daemons
    fleet[0].descriptors = 200 + 2 * room
    context.crowd = crowds.Crowd(fleet, soak.book, random.Random("crowd"))
    context.crowded = fleet[0].name, first

    def beside(_):
        eventlet.sleep(first)
        context.crowd.run(last - first, rate)

    soak.beside = beside


@behave.then(
    "from {seconds:d} s after that what this daemon reads is served at least "
    "three quarters as often as before"
)
def step_served(context, seconds):
    name, first = context.crowded
    firsts = [f for f in context.soak.book.firsts if f.daemon == name]
    before = [f.served for f in firsts if f.at < first]
    usual = sum(before) / len(before)
    read = [
        result.status == 200
        for result in context.crowd.results
        if result.daemon == name
        and result.at >= first + seconds
        and (result.status or result.ran)
    ]
    assert len(read) >= 100, len(read)
    assert sum(read) >= 0.75 * usual * len(read), (sum(read), len(read), usual)
    own = [f.served for f in firsts if f.at >= first + seconds]
    assert sum(own) >= 0.75 * usual * len(own), (sum(own), len(own), usual)
