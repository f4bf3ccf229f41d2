"""Handles ``POST /v1/chat/completions``."""

from collections.abc import Iterator

from citronvalve.entry import broken
from citronvalve.entry import call as calls
from citronvalve.entry import chatbody
from citronvalve.entry import chunk
from citronvalve.entry import dispatch as dispatches
from citronvalve.entry import environment as environments
from citronvalve.entry import handler
from citronvalve.entry import presence
from citronvalve.entry import problem
from citronvalve.entry import relay as relays
from citronvalve.entry import response as responses
from citronvalve.entry import work as works
from citronvalve.model import clock
from citronvalve.model import declared
from citronvalve.model import ran
from citronvalve.model import refusal
from citronvalve.upstreams import engineclient
from citronvalve.upstreams import heartbeat

_DEFAULT_MAX_TOKENS = 256


class ChatHandler(handler.Handler):
    """Validates chat requests and relays the answers, streamed or whole.

    :param env: the daemon's environment.
    :param dispatch: places each attempt on an upstream.
    :param client: sends attempts to engines.
    """

    path = "chat"

    def __init__(
        self,
        env: environments.Environment,
        dispatch: dispatches.Dispatch,
        client: engineclient.EngineClient,
    ) -> None:
        super().__init__(env, dispatch)
        self._client = client

    def handle(
        self,
        call: calls.Call,
        team: declared.Team,
        table: declared.Declared,
    ) -> responses.Response:
        parsed = self._parse(call, team, table)
        if isinstance(parsed, refusal.Refusal):
            return responses.from_refusal(parsed, call.request)
        work, body = parsed
        relay = relays.Relay(
            self._env, self._dispatch, self._client, work, body["messages"]
        )
        if body.get("stream", False):
            return self._respond_streamed(call, work, relay)
        return self._respond_whole(call, work, relay)

    def _parse(
        self,
        call: calls.Call,
        team: declared.Team,
        table: declared.Declared,
    ) -> tuple[works.Work, chatbody.ChatBody] | refusal.Refusal:
        deadline = call.deadline(
            table.switches.default_deadline, self._env.limits.max_deadline
        )
        if isinstance(deadline, refusal.Refusal):
            return deadline
        raw = call.body(self._env.limits.max_body_size)
        if isinstance(raw, refusal.Refusal):
            return raw
        body = chatbody.decode(raw)
        if isinstance(body, refusal.Refusal):
            return body
        model = table.model_by_name.get(body["model"])
        if model is None:
            return _unknown_model(body["model"])
        return self._make_work(call, team, model, deadline, body)

    def _make_work(
        self,
        call: calls.Call,
        team: declared.Team,
        model: declared.Model,
        deadline: clock.Ms,
        body: chatbody.ChatBody,
    ) -> tuple[works.Work, chatbody.ChatBody] | refusal.Refusal:
        prompt = chatbody.prompt_text(body)
        if len(prompt) > self._env.limits.max_prompt_length:
            return calls.malformed(
                f"the messages have {len(prompt)} characters, the limit is "
                f"{self._env.limits.max_prompt_length}"
            )
        max_tokens = body.get(
            "max_tokens", min(_DEFAULT_MAX_TOKENS, model.max_tokens)
        )
        if max_tokens > model.max_tokens:
            return calls.malformed(
                f"max_tokens is {max_tokens}, the limit is {model.max_tokens}"
            )
        work = works.Work(
            call.request,
            team.name,
            model.name,
            call.arrived_at,
            deadline,
            len(prompt) // chatbody.CHARACTERS_PER_TOKEN + 1,
            max_tokens,
            chatbody.fingerprint(body),
            chatbody.prefixes(prompt),
        )
        return work, body

    def _respond_whole(
        self, call: calls.Call, work: works.Work, relay: relays.Relay
    ) -> responses.Response:
        parts: list[str] = []
        items = iter(relay)
        for item in items:
            if isinstance(item, refusal.Refusal):
                return responses.from_refusal(item, call.request)
            if isinstance(item, str):
                parts.append(item)
            elif presence.has_left(call.environ):
                items.close()
                return responses.from_refusal(_caller_left(), call.request)
        self._env.metrics.record_pieces(len(parts))
        body = chunk.whole(
            work.request,
            work.target,
            self._env.clock.wall() // clock.SECOND,
            "".join(parts),
            relay.finish,
        )
        return responses.from_body(body)

    def _respond_streamed(
        self, call: calls.Call, work: works.Work, relay: relays.Relay
    ) -> responses.Response:
        items = iter(relay)
        first = self._first_text(call, items)
        if isinstance(first, refusal.Refusal):
            return responses.from_refusal(first, call.request)
        headers = [
            ("Content-Type", responses.EVENTS),
            ("Cache-Control", "no-store"),
        ]
        body = self._chunks(work, relay, first, items)
        return responses.Response(responses.OK, headers, body, "", True)

    def _first_text(
        self, call: calls.Call, items: Iterator[relays.Item]
    ) -> str | refusal.Refusal:
        # The status is sent only once there is text, so that an earlier
        # refusal still gets its own status and Retry-After.
        for item in items:
            if item is not heartbeat.HEARTBEAT:
                if isinstance(item, str):
                    took = self._env.clock.now() - call.arrived_at
                    self._env.metrics.record_first_token(took)
                return item
            if presence.has_left(call.environ):
                items.close()
                return _caller_left()
        return ""

    def _chunks(
        self,
        work: works.Work,
        relay: relays.Relay,
        first: str,
        items: Iterator[relays.Item],
    ) -> Iterator[bytes]:
        created = self._env.clock.wall() // clock.SECOND
        chunks = chunk.ChunkEncoder(work.request, work.target, created)
        pieces = 1
        try:
            yield chunks.text(first)
            for item in items:
                if isinstance(item, str):
                    pieces += 1
                    yield chunks.text(item)
                elif isinstance(item, refusal.Refusal):
                    yield chunk.error(problem.body(item, work.request))
                    raise broken.AnswerBroken(
                        str(item.kind),
                        where=work.request,
                        remedy="see the error event of the stream",
                    )
                else:
                    yield chunk.HEARTBEAT
            yield chunks.end(relay.finish)
        finally:
            items.close()
            self._env.metrics.record_pieces(pieces)


def _unknown_model(name: str) -> refusal.Refusal:
    return refusal.Refusal(
        refusal.RefusalKind.NOT_FOUND,
        f"model {name[:80]!r} is not declared",
        "use the name of a declared model",
    )


def _caller_left() -> refusal.Refusal:
    return refusal.Refusal(
        refusal.RefusalKind.CALLER_LEFT,
        "the caller closed its connection",
        "send the request again",
        ran.Ran.UNKNOWN,
    )
