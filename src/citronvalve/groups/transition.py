"""The state machine of groups."""

from citronvalve.groups import event
from citronvalve.groups import phase

_E = event.Event
_P = phase.Phase

#: The next phase for a phase and an event; pairs not listed change nothing.
#: None releases the VMs and removes the group.
NEXT_BY_PHASE_AND_EVENT: dict[tuple[_P, _E], _P | None] = {
    (_P.FORMING, _E.CONVERGED): _P.LOADING,
    (_P.FORMING, _E.LOST): _P.CLOSED,
    (_P.FORMING, _E.DIVERGED): _P.FORMING,
    (_P.FORMING, _E.REPAIR): _P.FORMING,
    (_P.FORMING, _E.OUTDATED): _P.FORMING,
    (_P.FORMING, _E.UNWANTED): _P.DISSOLVING,
    (_P.LOADING, _E.CONVERGED): _P.SERVING,
    (_P.LOADING, _E.LOST): _P.CLOSED,
    (_P.LOADING, _E.DIVERGED): _P.FORMING,
    (_P.LOADING, _E.REPAIR): _P.FORMING,
    (_P.LOADING, _E.OUTDATED): _P.FORMING,
    (_P.LOADING, _E.UNWANTED): _P.DISSOLVING,
    (_P.SERVING, _E.LOST): _P.CLOSED,
    (_P.SERVING, _E.DIVERGED): _P.CLOSED,
    (_P.SERVING, _E.REPAIR): _P.FORMING,
    (_P.SERVING, _E.OUTDATED): _P.CLOSED,
    (_P.SERVING, _E.LEAVING): _P.CLOSED,
    (_P.SERVING, _E.UNWANTED): _P.DISSOLVING,
    (_P.CLOSED, _E.CONVERGED): _P.SERVING,
    (_P.CLOSED, _E.DIVERGED): _P.FORMING,
    (_P.CLOSED, _E.REPAIR): _P.FORMING,
    (_P.CLOSED, _E.OUTDATED): _P.LOADING,
    (_P.CLOSED, _E.UNWANTED): _P.DISSOLVING,
    (_P.DISSOLVING, _E.DRAINED): None,
}

#: Phases whose row records the intent of orders to every VM.
PHASES_WITH_ORDERS = {_P.FORMING, _P.LOADING}
