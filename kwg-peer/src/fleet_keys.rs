use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use snafu::{ResultExt, Snafu};

/// Certificate authority that signs the certificates of a fleet's instances.
#[derive(Debug)]
pub struct FleetAuthority {
    certificate: String,
    key: String,
}

/// A certificate and its private key, in PEM.
#[derive(Debug, Clone)]
pub struct IssuedIdentity {
    /// The certificate.
    pub certificate: String,
    /// The private key.
    pub key: String,
}

/// Error of generating keys or certificates.
#[derive(Debug, Snafu)]
pub enum KeyError {
    /// The certificate library returned an error.
    #[snafu(display("cannot generate keys: {source}"))]
    Generate {
        /// The cause.
        source: rcgen::Error,
    },
}

impl FleetAuthority {
    /// Generates a new authority.
    ///
    /// # Errors
    /// [`KeyError`] if the certificate library fails.
    ///
    /// ```
    /// let authority = kwg_peer::FleetAuthority::generate()?;
    /// let issued = authority.issue("r1")?;
    /// assert!(issued.certificate.starts_with("-----BEGIN CERTIFICATE-----"));
    /// # Ok::<(), kwg_peer::KeyError>(())
    /// ```
    pub fn generate() -> Result<Self, KeyError> {
        let key = KeyPair::generate().context(GenerateSnafu)?;
        let params = authority_params()?;
        let certificate = params.self_signed(&key).context(GenerateSnafu)?;
        Ok(Self { certificate: certificate.pem(), key: key.serialize_pem() })
    }

    /// Restores an authority from its certificate and key in PEM. The key is parsed by
    /// [`Self::issue`].
    #[must_use]
    pub fn from_pem(certificate: impl Into<String>, key: impl Into<String>) -> Self {
        Self { certificate: certificate.into(), key: key.into() }
    }

    /// Returns the authority's certificate, in PEM.
    #[must_use]
    pub fn certificate(&self) -> &str {
        &self.certificate
    }

    /// Returns the authority's private key, in PEM.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Issues a certificate for the instance named `instance`.
    ///
    /// # Errors
    /// [`KeyError`] if the name is not valid in a certificate or the authority's key is not valid.
    pub fn issue(&self, instance: &str) -> Result<IssuedIdentity, KeyError> {
        let authority_key = KeyPair::from_pem(&self.key).context(GenerateSnafu)?;
        let issuer = Issuer::new(authority_params()?, authority_key);
        let key = KeyPair::generate().context(GenerateSnafu)?;
        let names = vec![instance.to_owned()];
        let mut params = CertificateParams::new(names).context(GenerateSnafu)?;
        params.distinguished_name.push(DnType::CommonName, instance);
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let certificate = params.signed_by(&key, &issuer).context(GenerateSnafu)?;
        Ok(IssuedIdentity { certificate: certificate.pem(), key: key.serialize_pem() })
    }
}

/// Returns the certificate parameters of an authority. They are the same for all authorities,
/// whose certificates differ only in their keys.
fn authority_params() -> Result<CertificateParams, KeyError> {
    let mut params = CertificateParams::new(Vec::new()).context(GenerateSnafu)?;
    params.distinguished_name.push(DnType::CommonName, "knapweedglade fleet authority");
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::DigitalSignature];
    Ok(params)
}
