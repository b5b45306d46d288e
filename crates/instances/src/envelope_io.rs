//! Reading and writing of envelopes as length-delimited frames.

use std::{io, sync::Arc};

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::io::{AsyncRead, AsyncWrite, ReadHalf, WriteHalf, split};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::{Body, Envelope, Hello, LinkCounters, MAX_FRAME_BYTES};

/// Size of the length field of a frame.
const LENGTH_FIELD_BYTES: usize = 4;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_FIELD_BYTES)
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Decodes envelopes from the read half of a link.
pub(crate) struct EnvelopeReader<S> {
    frames: FramedRead<ReadHalf<S>, LengthDelimitedCodec>,
    counters: Arc<LinkCounters>,
}

impl<S: AsyncRead> EnvelopeReader<S> {
    /// Returns the next envelope with a known body, or `None` at the end of the connection.
    ///
    /// The future is cancel-safe: dropping it loses no message.
    pub(crate) async fn next(&mut self) -> io::Result<Option<(Envelope, Body)>> {
        while let Some(frame) = self.frames.next().await {
            let frame: BytesMut = frame?;
            let len = frame.len() + LENGTH_FIELD_BYTES;
            let mut envelope = Envelope::decode(frame.freeze())?;
            // Skips message types of newer versions.
            let Some(body) = envelope.body.take() else {
                continue;
            };
            self.counters.counter_for(&body).record_in(len);
            return Ok(Some((envelope, body)));
        }
        Ok(None)
    }
}

/// Encodes envelopes to the write half of a link.
pub(crate) struct EnvelopeWriter<S> {
    frames: FramedWrite<WriteHalf<S>, LengthDelimitedCodec>,
    counters: Arc<LinkCounters>,
}

impl<S: AsyncWrite> EnvelopeWriter<S> {
    /// Buffers an envelope for writing. Drops an envelope above [`MAX_FRAME_BYTES`].
    pub(crate) async fn feed(&mut self, envelope: &Envelope) -> io::Result<()> {
        let frame: Bytes = envelope.encode_to_vec().into();
        // An oversized reply is dropped, so that only its own call fails, at its deadline. An error
        // here would end the link and fail all calls.
        if frame.len() > MAX_FRAME_BYTES {
            LinkCounters::increment(&self.counters.dropped);
            return Ok(());
        }
        if let Some(body) = &envelope.body {
            self.counters
                .counter_for(body)
                .record_out(frame.len() + LENGTH_FIELD_BYTES);
        }
        self.frames.feed(frame).await
    }

    pub(crate) async fn flush(&mut self) -> io::Result<()> {
        SinkExt::<Bytes>::flush(&mut self.frames).await
    }

    pub(crate) async fn close(&mut self) -> io::Result<()> {
        SinkExt::<Bytes>::close(&mut self.frames).await
    }
}

/// Splits a stream into a reader and a writer of envelopes.
pub(crate) fn split_envelopes<S: AsyncRead + AsyncWrite>(
    stream: S,
    counters: &Arc<LinkCounters>,
) -> (EnvelopeReader<S>, EnvelopeWriter<S>) {
    let (read, write) = split(stream);
    (
        EnvelopeReader {
            frames: FramedRead::new(read, codec()),
            counters: counters.clone(),
        },
        EnvelopeWriter {
            frames: FramedWrite::new(write, codec()),
            counters: counters.clone(),
        },
    )
}

pub(crate) async fn send_hello<S: AsyncWrite>(
    writer: &mut EnvelopeWriter<S>,
    hello: Hello,
) -> io::Result<()> {
    writer.feed(&Envelope::one_way(Body::Hello(hello))).await?;
    writer.flush().await
}

pub(crate) async fn receive_hello<S: AsyncRead>(
    reader: &mut EnvelopeReader<S>,
) -> io::Result<Hello> {
    match reader.next().await? {
        Some((_, Body::Hello(hello))) => Ok(hello),
        _ => Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the first message is not a Hello",
        )),
    }
}
