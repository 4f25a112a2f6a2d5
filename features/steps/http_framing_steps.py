"""Steps that compare what the listeners and the client make of random bytes with a model."""

from typing import Any, Final

from behave import then
from hypothesis import given as any_of
from hypothesis import settings, strategies

from fescuequay_entry.relay import http_client
from features import http_model, http_streams
from features.http_streams import Stream

_SETTINGS: Final = settings(max_examples=500, deadline=None, derandomize=True, database=None)


@then('random streams of requests are handled as the model says, whole and in parts')
def step_requests(context: Any) -> None:
    @_SETTINGS
    @any_of(http_streams.request_streams())
    def check(stream: Stream) -> None:
        handled, answers, is_closed = http_streams.serve([stream.raw])
        expected = [(*message.start, message.body) for message in http_model.requests(stream.raw)]
        assert handled == expected, (stream.raw, handled, expected)
        in_parts = http_streams.serve(stream.parts())
        assert in_parts == (handled, answers, is_closed), (stream, in_parts, answers)

    check()


@then('random streams of responses are read as the model says, whole and in parts')
def step_responses(context: Any) -> None:
    @_SETTINGS
    @any_of(http_streams.response_streams())
    def check(stream: Stream) -> None:
        response, is_kept = http_streams.receive([stream.raw])
        try:
            expected, is_followed = http_model.response(stream.raw)
        except http_model.MalformedError:
            assert response is None, (stream.raw, response)
        else:
            assert response is not None, stream.raw
            found = (str(response.status),), response.headers_by_name, response.body
            assert found == (expected.start, expected.fields, expected.body), (stream.raw, found)
            assert is_kept == (not is_followed and not expected.is_last), (stream.raw, is_kept)
        assert http_streams.receive(stream.parts()) == (response, is_kept), stream

    check()


@then('random requests arrive alone and unchanged, or are refused with an error')
def step_round_trip(context: Any) -> None:
    text = strategies.text('aB0/?#%&=:;., \t\r\n\0\x7f\x80é\u2028', max_size=6)

    @_SETTINGS
    @any_of(strategies.sampled_from(('GET', 'POST', 'GET\r\n', 'G T', '')), text, text, text, strategies.binary())
    def check(method: str, path: str, name: str, content: str, body: bytes) -> None:
        try:
            raw = http_client._encode(method, 'a:80', '/' + path, body, {f'X{name}': content})
        except http_client.HttpError as error:
            assert error.is_unsent
            return
        sent = (method, f'/{path}'.split('?')[0], body)
        assert http_streams.serve([raw])[0] == [sent], raw
        (message,) = http_model.requests(raw)
        assert message.fields[f'x{name}'.lower()] == content, raw

    check()
